package routing

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a path that is routed by another reading than the one that is sent, and against a target that runs under an open
// route what a stricter one covers.
func TestPathWithTwoReadings(t *testing.T) {
	below := func(path string) declaration.Route {
		return declaration.Route{Path: path, BelowOnly: true, Class: declaration.Idempotent}
	}
	keyed, once, odd := below("/f/keyed/"), below("/f/once/"), below("/f/odd/")
	keyed.RequiresKey, once.Class, odd.Unsupported = true, declaration.NonIdempotent, "odd"
	table := NewTable([]*declaration.Service{
		{Name: "files", Routes: []declaration.Route{below("/f/"), keyed, once, odd, below("/f/keyed/open/"), below("/caf\u00e9/"), below("/50%/")}},
		{Name: "reports", Routes: []declaration.Route{below("/f/reports/"), {Path: "/f/h/keyed", Host: "h", RequiresKey: true}, below("/f%2Fx/")}},
		{Name: "whole", Routes: []declaration.Route{below("/")}},
	})
	for path, want := range map[string]string{
		"/f/reports/0":     "reports /f/reports/",
		"/f/reports%2F0":   "files /f/",
		"/f/reports%2f0":   "files /f/",
		"/f/reports%5C0":   "files /f/",
		"/f//reports/0":    "files /f/",
		"/%66/rep%6Frts/0": "reports /f/reports/",
		"/f%2Fx/0":         "reports /f%2Fx/",
		"/f%252Fx/0":       "whole /",
		"/caf%C3%A9/0":     "files /caf\u00e9/",
		"/50%25/0":         "files /50%/",
		"/f/keyed/0":       "files /f/keyed/ key",
		"/f/keyed%2F0":     "files /f/ key",
		"/f/keyed%2F":      "files /f/ key",
		"/f/keyed\\0":      "files /f/ key",
		"/f/keyed%5c0":     "files /f/ key",
		"/f/./keyed/0":     "files /f/ key",
		"/f/%2e/keyed/0":   "files /f/ key",
		"/f//keyed/0":      "files /f/ key",
		"//f/keyed/0":      "whole / key",
		"//x/f/keyed/0":    "whole / key",
		"/\\x/f/keyed/0":   "whole / key",
		"//x//f/%6beyed/0": "whole / key",
		"//x/f/once":       "whole /",
		"//x":              "whole /",
		"//x/f/once/0":     "whole / once",
		"//f/h/keyed":      "whole / key",
		"/f/x/f/keyed/0":   "files /f/",
		"/f//x/f/keyed/0":  "files /f/",
		"/f/keyed;v=1/0":   "files /f/ key",
		"/f/keyed#/0":      "files /f/ key",
		// A target that keeps the backslash reads the keyed route, one that does not reads the open one below it.
		"/f/keyed%2Fopen\\0":  "files /f/ key",
		"/f/keyed/open/a%2Fb": "files /f/keyed/open/",
		"/f/once%2F0":         "files /f/ once",
		"/f/odd%2F0":          "files /f/ route_unsupported",
		"/f/../f/0":           "files /f/ path_ambiguous",
		"/f/%2E%2e/0":         "files /f/ path_ambiguous",
		"/f/a%2F..%5Ckeyed":   "files /f/ path_ambiguous",
		"/f/..;/keyed/0":      "files /f/ path_ambiguous",
		"/f/..":               "files /f/ path_ambiguous",
		"/f/...":              "files /f/",
		"/f/.well-known":      "files /f/",
		"/f/h%2Fkeyed":        "files /f/ key",
	} {
		m := table.Match("h", "GET", path)
		if m == nil {
			t.Errorf("%s: no route, want %s", path, want)
			continue
		}
		got := string(m.Service.Name) + " " + m.Route.Path
		if m.Route.RequiresKey {
			got += " key"
		}
		if refusal := m.Refusal(); refusal != nil {
			got += " " + string(refusal.Reason)
		} else if m.Route.ClassOf("GET") == declaration.NonIdempotent {
			got += " once"
		}
		if got != want {
			t.Errorf("%s: got %s, want %s", path, got, want)
		}
	}
	for _, path := range []string{"*", "f/0", "h:80"} {
		if m := table.Match("h", "GET", path); m != nil {
			t.Errorf("%s matched %v", path, m)
		}
	}
	if m := table.Match("h", "GET", "/../x"); m == nil || m.Refusal() == nil || m.Refusal().Reason != verdict.PathAmbiguous {
		t.Errorf("a path above the root: %v", m)
	}
}

// Guards against a panic, and against a request that gets an open route although a reading of its path needs a key.
func FuzzPath(f *testing.F) {
	table := NewTable([]*declaration.Service{{Name: "s", Routes: []declaration.Route{{Path: "/"}, {Path: "/k", RequiresKey: true}}}})
	for _, path := range []string{"/k/x", "/%6b", "/a%2F..%2Fk", "//k", "/k%", "/%2", "/\\k"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		m := table.Match("h", "GET", path)
		if m == nil || m.Refusal() != nil || m.Route.RequiresKey {
			return
		}
		if got := table.Match("h", "GET", parsePath(path).merged); got == nil || got.Route.RequiresKey {
			t.Errorf("%q is open, its merged reading is not", path)
		}
	})
}
