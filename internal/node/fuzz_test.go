package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a panic on malformed keys, tickets, timeouts and bodies of callers, and against a refusal without a
// reason. The service has no target, so that every request is refused.
func FuzzCallerRequest(f *testing.F) {
	f.Add("GET", "/s", "", "", "", "")
	f.Add("POST", "/s/x?y", "key", "", "100", "body")
	f.Add("POST", "/s", "", "n1.1.1.1.x", "", "body")
	f.Add("POST", "/s", "\x01", "....", "-1", strings.Repeat("b", 200))
	f.Fuzz(func(t *testing.T, method, path, key, ticket, timeout, body string) {
		a, _ := startAcceptor(t)
		a.once.tickets = testTickets()
		request, err := http.NewRequest(method, "http://h", strings.NewReader(body))
		if err != nil || key != "" && validKey(key) {
			// A valid key needs a store, which this test does not have.
			return
		}
		request.URL.Path = path
		request.Header.Set(headerKey, key)
		request.Header.Set(headerTicket, ticket)
		request.Header.Set(dialect.OwnCaller().TimeoutHeader, timeout)
		recorder := httptest.NewRecorder()
		a.ServeHTTP(recorder, request)
		if strings.HasPrefix(path, nodePathPrefix) {
			return
		}
		if _, ok := verdict.Parse(recorder.Header().Get(headerVerdict)); !ok || recorder.Header().Get(headerReason) == "" {
			t.Errorf("status %d without verdict and reason", recorder.Code)
		}
	})
}
