package node

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// startNesting serves an upstream that calls during for the request 7 and reports the header of every request.
func startNesting(t *testing.T, during func()) (string, chan http.Header) {
	t.Helper()
	received := make(chan http.Header, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if r.Header.Get("Request-Id") == "7" {
			during()
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), received
}

// Guards against nested requests that outlive the run they belong to, so that a chain of them never ends.
func TestNestedRequestEndsWithItsParent(t *testing.T) {
	var address string
	target, received := startNesting(t, func() {
		_, _ = roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7.1\r\nTime-Left: 20000\r\n\r\n")
	})
	_, address = startKeyed(t, target)
	_, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7\r\nTime-Left: 1000\r\nApi-Key: "+testKey+"\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	<-received
	if left, _ := strconv.Atoi((<-received).Get("Time-Left")); left > 1000 {
		t.Errorf("the nested request has %d ms, its parent 1000", left)
	}
}

// Guards against 401 for a nested request whose open route begins to require a key before a retry.
func TestNestedRequestOfRouteThatBeginsToRequireAKey(t *testing.T) {
	target, _ := startRecorder(t)
	a, _ := startKeyed(t, target)
	a.admitter.parents.begin("7", time.Minute)
	view := a.view.Load()
	r := httptest.NewRequest(http.MethodGet, "/open", nil)
	ra, refusal := a.newRequestAccess(r, view, view.Table.Match(r.Host, r.Method, "/open"), "7.1")
	if refusal != nil {
		t.Fatal(refusal)
	}
	closed := *core.BuildView(core.Inputs{Config: &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{
		"s": {Name: "s", Routes: []declaration.Route{{Path: "/open", RequiresKey: true}}},
	}}})
	closed.Accounts = view.Accounts
	if _, refusal = ra.renew(&closed); refusal != nil {
		t.Errorf("%v for the call of a run that is in progress", refusal)
	}
}
