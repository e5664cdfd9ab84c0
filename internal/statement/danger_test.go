package statement_test

import (
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/statement"
)

func service(t *testing.T, body string) *declaration.Service {
	t.Helper()
	declarations, err := statement.ParseDeclarations("declare service s {" + body + "}")
	if err != nil {
		t.Fatal(err)
	}
	return &declarations[0].Service
}

// Guards against a change that makes requests idempotent without the operator's confirmation. The fleet may run such
// requests more than once.
func TestClassDangers(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"class changed", `route POST "/a";`, `route POST "/a" { class idempotent; }`, `POST "/a"`},
		{"class of all methods", `route "/a";`, `route "/a" { class idempotent; }`, `POST, PUT, PATCH, DELETE "/a"`},
		{"narrower route added", `route "/";`, `route "/"; route POST "/a" { class idempotent; }`, `POST "/a"`},
		{"narrower route removed", `route POST "/" { class idempotent; } route POST "/a";`, `route POST "/" { class idempotent; }`, `POST "/a"`},
		{"method list changed", `route POST, PUT "/a";`, `route POST "/a"; route PUT "/a" { class idempotent; }`, `PUT "/a"`},
		{"host added", `route POST "/a";`, `route POST "/a"; route POST "/a" host h { class idempotent; }`, `POST "/a" host h`},
		{"slash at the end", `route POST "/a/";`, `route POST "/a" { class idempotent; }`, `POST "/a/"`},
		{"new route", ``, `route POST "/a" { class idempotent; }`, ``},
		{"made stricter", `route POST "/a" { class idempotent; }`, `route POST "/a";`, ``},
		{"same effective class", `route GET "/a";`, `route GET "/a" { class idempotent; }`, ``},
		{"common prefix within a path segment", `route POST "/a";`, `route POST "/a"; route POST "/ab" { class idempotent; }`, ``},
	}
	for _, c := range cases {
		dangers := statement.Dangers(service(t, c.from), service(t, c.to), statement.UnknownCapacity)
		got := strings.Join(dangers, "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: dangers %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against two changes without the operator's confirmation: a capacity floor above the capacity, which prevents
// every ejection, and the removal of a service with routes, whose requests are then refused.
func TestOtherDangers(t *testing.T) {
	empty, floor, routes := service(t, ""), service(t, "floor 8 slots;"), service(t, `route "/";`)
	cases := []struct {
		name     string
		from, to *declaration.Service
		capacity int
		want     int
	}{
		{"floor above capacity", empty, floor, 7, 1},
		{"floor of a new service", nil, floor, 7, 1},
		{"floor at capacity", empty, floor, 8, 0},
		{"capacity unknown", empty, floor, statement.UnknownCapacity, 0},
		{"removal with routes", routes, nil, 0, 1},
		{"removal without routes", empty, nil, 0, 0},
	}
	for _, c := range cases {
		if got := statement.Dangers(c.from, c.to, c.capacity); len(got) != c.want {
			t.Errorf("%s: dangers %q, want %d", c.name, got, c.want)
		}
	}
}
