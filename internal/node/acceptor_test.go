package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

type discardLog struct{}

func (discardLog) Write(events.Severity, string) {}

// startAcceptor serves an acceptor with one service that has no targets.
func startAcceptor(t testing.TB) (*acceptor, string) {
	t.Helper()
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}
	a := &acceptor{
		limits: settings.Limits{MaxBodyBytes: 100, MaxRequests: 10}, ready: func() bool { return true }, cutoff: newShutdownCutoff(),
		openAttempts: newOpenAttempts(),
		dialect:      dialect.OwnCaller(), headers: headers.NewRules(dialect.OwnCaller(), dialect.OwnUpstream()), budgets: newBudgets(testRetries()), answerSizes: newRouteAverages[int64](), attemptDurations: newRouteAverages[time.Duration](), metrics: metrics.New(), log: events.New(discardLog{}, time.Now), clock: newClock(),
	}
	a.once = &onceRunner{acceptor: a, nodeOf: func(model.NodeID) (model.Node, bool) { return model.Node{}, false }}
	a.view.Store(core.BuildView(core.Inputs{Config: &config.Snapshot{
		Services: map[model.ServiceName]*declaration.Service{"s": service},
	}}))
	server := httptest.NewServer(a)
	t.Cleanup(server.Close)
	return a, strings.TrimPrefix(server.URL, "http://")
}

// testRetries returns the default retry settings.
func testRetries() settings.Retries {
	return settings.Retries{Share: 0.1, FleetPerSecond: 30, Burst: 30}
}

// testTickets returns the tickets of a node n1.
func testTickets() *once.Tickets {
	return once.NewTickets("n1", 1, []byte("secret"), once.TicketLimits{})
}

// roundTrip writes the raw request and returns the response, or the error of reading it.
func roundTrip(t *testing.T, address, request string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// Guards against a caller that never sends its complete body and so occupies one of the node's requests forever. The
// test ends only if the node ends the request.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	a, address := startAcceptor(t)
	res, err := roundTrip(t, address, "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nSardinereach-Timeout-Ms: 50\r\n\r\nx")
	if err == nil && res.Header.Get(headerReason) != string(verdict.BodyIncomplete) {
		t.Errorf("response %s, reason %q", res.Status, res.Header.Get(headerReason))
	}
	for a.inFlight.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a refusal without the verdict and reason headers, and against a wrong reason for malformed requests.
func TestRefusalsNameTheirReason(t *testing.T) {
	_, address := startAcceptor(t)
	post := func(headers, body string) string {
		return fmt.Sprintf("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", len(body), headers, body)
	}
	for name, c := range map[string]struct {
		request string
		status  int
		reason  verdict.Reason
	}{
		"no route":        {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 404, verdict.NoRoute},
		"no target":       {"GET /s HTTP/1.1\r\nHost: h\r\n\r\n", 503, verdict.NoTarget},
		"no key":          {post("", "b"), 428, verdict.KeyMissing},
		"long key":        {post("Idempotency-Key: "+strings.Repeat("k", 201)+"\r\n", "b"), 400, verdict.KeyInvalid},
		"bad ticket":      {post("Sardinereach-Ticket: x\r\n", "b"), 400, verdict.KeyInvalid},
		"bad timeout":     {post("Sardinereach-Timeout-Ms: soon\r\n", "b"), 400, verdict.BadRequest},
		"large body":      {post("", strings.Repeat("b", 101)), 413, verdict.BodyTooLarge},
		"expired timeout": {"GET /s HTTP/1.1\r\nHost: h\r\nSardinereach-Timeout-Ms: 0\r\n\r\n", 503, verdict.NoTarget},
	} {
		res, err := roundTrip(t, address, c.request)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if res.StatusCode != c.status || res.Header.Get(headerReason) != string(c.reason) ||
			res.Header.Get(headerVerdict) != verdict.NotRun.String() {
			t.Errorf("%s: %d %q %q, want %d not-run %s", name, res.StatusCode, res.Header.Get(headerVerdict),
				res.Header.Get(headerReason), c.status, c.reason)
		}
	}
}
