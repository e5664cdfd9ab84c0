package distribution

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
)

// Guards against a document of an unknown kind that has no effect without a report of each revision.
func TestDocumentOfUnknownKindIsReportedOnce(t *testing.T) {
	d := newDistributor(t, "a", 1, directPuller{})
	var reports []string
	d.options.Report = func(e Event) {
		if e.Kind != DocumentApplied {
			reports = append(reports, fmt.Sprint(e.Kind, " ", e.Key, " ", e.Revision))
		}
	}
	for _, document := range []config.Document{
		{Key: "config/networks/a", Revision: 1, Value: []byte(`{}`)},
		{Key: "config/networks/a", Revision: 1, Value: []byte(`{}`)},
		{Key: "config/networks/a", Revision: 2},
		{Key: "config/networks/a", Revision: 3, Deleted: true},
		{Key: config.ServicePrefix + "s", Revision: 4, Value: []byte(`{"name":"s","routes":[]}`)},
	} {
		d.applyDocuments([]config.Document{document}, delivery{})
	}
	if got := strings.Join(reports, "|"); got != "kind_unknown config/networks/a 1|kind_unknown config/networks/a 2" {
		t.Errorf("reports %s", got)
	}
}
