package routing

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against a 404 for a host that is written in other letters than in the configuration, with a port or with a final dot.
func TestHostIsMatchedInAnyForm(t *testing.T) {
	table := NewTable([]*declaration.Service{{Name: "s", Routes: []declaration.Route{
		{Host: "Fees.example", Path: "/a"}, {Path: "/b"},
	}}})
	for _, host := range []string{"fees.example", "FEES.Example", "fees.example:8080", "Fees.Example.", "fees.example.:80"} {
		if table.Match(host, "GET", "/a") == nil {
			t.Errorf("host %q matches no route", host)
		}
	}
	for _, host := range []string{"", "fees", "fees.example.org", "xfees.example"} {
		if table.Match(host, "GET", "/a") != nil {
			t.Errorf("host %q matches the route of another one", host)
		}
	}
}
