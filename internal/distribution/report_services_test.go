package distribution

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
)

// Guards against a service that is refused, or whose newest document is damaged, without one report of each revision.
func TestServicesThatAreNotUnderstoodAreReportedOnce(t *testing.T) {
	d := newDistributor(t, "a", 1, directPuller{})
	var reports []string
	d.options.Report = func(e Event) {
		if e.Kind != DocumentApplied {
			reports = append(reports, fmt.Sprint(e.Kind, " ", e.Revision, " ", e.Route, " ", e.Err))
		}
	}
	for i, step := range []struct{ value, want string }{
		{`{"name":"s","routes":[{"path":"/a"}]}`, ""},
		{`{"name":"s","floor_slots":"x","routes":[{"path":"/a"}]}`, `route_unsupported 2 * field "floor_slots" has a value of another type`},
		{`{"name":"s","routes":[{"path":"/a"},{"path":7}]}`, `route_unsupported 3 * route 2 of the list: its host, path or methods cannot be read`},
		{`{`, "document_rejected 4  service document: unexpected end of JSON input"},
		{`{"name":"s","routes":[{"path":"/a","rank":-1}]}`, "route_unsupported 5 /a rank and attempts: use 0 or more"},
	} {
		reports = nil
		document := config.Document{Key: config.ServicePrefix + "s", Value: []byte(step.value), Revision: int64(i + 1)}
		d.applyDocuments([]config.Document{document}, delivery{})
		d.applyDocuments([]config.Document{document}, delivery{})
		if got := strings.Join(reports, "|"); got != step.want {
			t.Errorf("%s: reports %s, want %s", step.value, got, step.want)
		}
	}
}
