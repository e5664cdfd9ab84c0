package routing

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against runs of an earlier build, on a route that this one does not understand, that count as ended too early.
func TestLongestTimeoutIncludesRoutesThatAreNotUnderstood(t *testing.T) {
	for document, want := range map[string]time.Duration{
		`{"name":"a","routes":[{"path":"/1","timeout_ms":60000}]}`:                                  time.Minute,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":60000,"later":1}]}`:                        time.Minute,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":60000,"requires":["later"]}]}`:             time.Minute,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":60000,"class":"later"}]}`:                  time.Minute,
		`{"name":"a","later":{},"routes":[{"path":"/1","timeout_ms":60000}]}`:                       time.Minute,
		`{"name":"a","routes":[{"path":7,"timeout_ms":60000}]}`:                                     time.Minute,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":-1}]}`:                                     30 * time.Second,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":"60000"}]}`:                                30 * time.Second,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":9000000000000000000,"later":1}]}`:          30 * time.Second,
		`{"name":"a","routes":[{"path":"/1","timeout_ms":900000000000000000,"unsupported":"odd"}]}`: 30 * time.Second,
	} {
		service, err := declaration.DecodeStored([]byte(document))
		if err != nil {
			t.Fatal(err)
		}
		if got := NewTable([]*declaration.Service{service}).LongestTimeout(); got != want {
			t.Errorf("%s: %s, want %s", document, got, want)
		}
	}
}
