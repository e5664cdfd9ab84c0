package node

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// startSizedUpstream serves responses of as many bytes as the query says. With cut=1 a response breaks off in its middle, with
// chunks=1 it has no length.
func startSizedUpstream(t testing.TB) string {
	t.Helper()
	piece := []byte(strings.Repeat("0123456789abcdef", 4<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		if r.URL.Query().Get("chunks") != "1" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		if r.URL.Query().Get("cut") == "1" {
			defer panic(http.ErrAbortHandler)
			size /= 2
		}
		for size > 0 {
			n, err := w.Write(piece[:min(size, len(piece))])
			if err != nil {
				return
			}
			size -= n
		}
		_ = http.NewResponseController(w).Flush()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startTwoHops serves callers by a node whose only target is the upstream beside another node. It returns the callers' address.
func startTwoHops(t testing.TB, upstreamAddress string) (*acceptor, string) {
	t.Helper()
	a, _ := startAcceptor(t)
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}
	addTarget(t, a, service, "127.0.0.1:1")
	addRemoteTarget(t, a, startAdmittingNode(t, upstreamAddress))
	return a, serveCallers(t, a)
}

// startAdmittingNode serves peers by a node with the target t2 of the service s. It returns the peers' address.
func startAdmittingNode(t testing.TB, upstreamAddress string) string {
	t.Helper()
	log := events.New(discardLog{}, time.Now)
	self := model.Node{ID: "n2", Incarnation: 1, Region: "r", Domain: "d"}
	n := &Node{self: self, clock: newClock(), log: log}
	n.admitter = newAdmitter(n.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()),
		newCrashTracker(n.clock, self, nil, log))
	t.Cleanup(n.admitter.upstreams.Close)
	if _, err := n.admitter.announce(admission.Announcement{
		Service: "s", Target: "t2", Address: upstreamAddress, Slots: 64, Phase: model.PhaseReady, HasColdRemaining: true,
	}); err != nil {
		t.Fatal(err)
	}
	return servePeers(t, &handler{node: n})
}
