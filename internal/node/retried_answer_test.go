package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// answerOnce serves one request with the raw response and then refuses connections.
func answerOnce(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := listener.Accept()
		listener.Close()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, answer)
		}
	}()
	return listener.Addr().String()
}

// addTarget adds a target of the acceptor's node as the only target of the service.
func addTarget(t testing.TB, a *acceptor, service *declaration.Service, address string) {
	t.Helper()
	a.self = model.Node{ID: "n1", Incarnation: 1, Region: "r", Domain: "d"}
	log := events.New(discardLog{}, time.Now)
	a.paths, a.pathChanged = newPaths(), func() {}
	a.admitter = newAdmitter(a.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashTracker(a.clock, a.self, nil, log))
	t.Cleanup(a.admitter.upstreams.Close)
	_, err := a.admitter.announce(admission.Announcement{
		Service: service.Name, Target: "t1", Address: address, Slots: 4, Phase: model.PhaseReady,
	})
	if err != nil {
		t.Fatal(err)
	}
	record := &model.NodeRecord{Node: a.self, Targets: a.admitter.targets()}
	a.view.Store(core.BuildView(core.Inputs{
		Self:    a.self,
		Config:  &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{service.Name: service}},
		Members: &membership.Snapshot{Members: map[model.NodeID]membership.Member{"n1": {Record: record}}},
		Loads:   newLoads().of,
	}))
}

// Guards against reporting not-run for a request to which an upstream has responded with a retryable status, because
// the next attempt was refused, and against losing that response.
func TestRefusalAfterARetriedAnswer(t *testing.T) {
	a, address := startAcceptor(t)
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", RetryStatuses: []int{503}}}}
	addTarget(t, a, service, answerOnce(t, "HTTP/1.1 503 Busy\r\nBusy: yes\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if got := res.Header.Get(headerVerdict); got != verdict.Ran.String() || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Busy") != "yes" {
		t.Errorf("status %d, verdict %q, reason %q; want the response of the upstream", res.StatusCode, got, res.Header.Get(headerReason))
	}
}
