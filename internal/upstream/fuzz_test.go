package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a panic on a malformed announcement, and against accepting an invalid one.
func FuzzAnnounce(f *testing.F) {
	f.Add(`{"service":"s","target":"t","address":"127.0.0.1:1","slots":1,"phase":"ready"}`)
	f.Add(`{"service":"s","target":"t","address":"[::1]:1","slots":1,"phase":"draining","load":0.5,"crashes":1}`)
	f.Add(`{"slots":1e99}`)
	f.Add(`{"service":"s","target":"t","address":"host:1","slots":-1,"phase":"?"}`)
	f.Add("[[[[")
	f.Fuzz(func(t *testing.T, body string) {
		accepted := 0
		handler := AnnounceHandler(func(a Announcement) error {
			accepted++
			return a.Validate()
		})
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		if (recorder.Code == http.StatusOK) != (accepted == 1) || recorder.Code == http.StatusConflict {
			t.Errorf("status %d after %d announcements were accepted: %q", recorder.Code, accepted, body)
		}
	})
}
