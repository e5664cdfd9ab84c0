package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// blockingTarget blocks requests until it is released, and counts its runs.
type blockingTarget struct {
	address  string
	runs     atomic.Int32
	released chan struct{}
	// cancelled counts the runs whose request was cancelled.
	cancelled atomic.Int32
}

func newBlockingTarget(t *testing.T, name string) *blockingTarget {
	t.Helper()
	h := &blockingTarget{released: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.runs.Add(1)
		select {
		case <-h.released:
			_, _ = fmt.Fprint(w, name)
		case <-r.Context().Done():
			h.cancelled.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

// startHedging serves an acceptor with the local targets t1 and t2, which have one slot each. Requests of /s are
// overdue after 0.15 s.
func startHedging(t *testing.T, first, second *blockingTarget) (*acceptor, string) {
	t.Helper()
	a, address := startAcceptor(t)
	a.self = model.Node{ID: "n1", Incarnation: 1, Region: "r", Domain: "d"}
	a.paths, a.pathChanged = newPaths(), func() {}
	log := events.New(discardLog{}, time.Now)
	a.admitter = newAdmitter(a.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashTracker(a.clock, a.self, nil, log))
	t.Cleanup(a.admitter.upstreams.Close)
	for id, target := range map[model.TargetID]*blockingTarget{"t1": first, "t2": second} {
		if target == nil {
			continue
		}
		_, err := a.admitter.announce(admission.Announcement{Service: "s", Target: id, Address: target.address, Slots: 1, Phase: model.PhaseReady})
		if err != nil {
			t.Fatal(err)
		}
	}
	service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s", ObjectiveMS: 200}}}
	record := &model.NodeRecord{Node: a.self, Targets: a.admitter.targets()}
	a.view.Store(core.BuildView(core.Inputs{
		Self:    a.self,
		Config:  &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{"s": service}},
		Members: &membership.Snapshot{Members: map[model.NodeID]membership.Member{"n1": {Record: record}}},
		Loads:   newLoads().of,
	}))
	return a, address
}

func get(t *testing.T, address string) string {
	t.Helper()
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body := make([]byte, 64)
	n, _ := res.Body.Read(body)
	return fmt.Sprintf("%d %s", res.StatusCode, body[:n])
}

// Guards against an idempotent request that waits for a hanging target although another one would serve it.
func TestOverdueRequestIsHedged(t *testing.T) {
	first, second := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	_, address := startHedging(t, first, second)
	// The target that receives the request first hangs; the other one responds at once.
	go func() {
		for first.runs.Load()+second.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		if first.runs.Load() > 0 {
			close(second.released)
			return
		}
		close(first.released)
	}()
	if got := get(t, address); got != "200 one" && got != "200 two" {
		t.Fatalf("response %q", got)
	}
	if first.runs.Load() != 1 || second.runs.Load() != 1 {
		t.Errorf("%d and %d runs, want one at each target", first.runs.Load(), second.runs.Load())
	}
}

// Guards against cancelling an overdue run while no other target admits the request: the run may merely be slow.
func TestSlowRunContinuesWithoutAnotherTarget(t *testing.T) {
	only := newBlockingTarget(t, "slow")
	_, address := startHedging(t, only, nil)
	go func() {
		time.Sleep(500 * time.Millisecond)
		close(only.released)
	}()
	if got := get(t, address); got != "200 slow" {
		t.Errorf("response %q, want that of the slow run", got)
	}
	if only.runs.Load() != 1 || only.cancelled.Load() != 0 {
		t.Errorf("%d runs, %d cancelled", only.runs.Load(), only.cancelled.Load())
	}
}

// unresponsivePeer is a node that receives attempts and sends no response.
type unresponsivePeer struct {
	peer.Handler
	received atomic.Int32
}

func (m *unresponsivePeer) Hello(*peerv1.HelloRequest) *peerv1.HelloResponse {
	return &peerv1.HelloResponse{Node: "n2", Incarnation: 1}
}

func (m *unresponsivePeer) Forward(ctx context.Context, _ *peerv1.ForwardHead, _ peer.Body, _ peer.Sink) *peerv1.AnswerTrailer {
	m.received.Add(1)
	<-ctx.Done()
	return &peerv1.AnswerTrailer{}
}

// servePeers serves the handler to other nodes on a local port and returns its address.
func servePeers(t testing.TB, h peer.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.NewServer(h, 1<<20, peer.Options{}).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// addRemoteTarget adds a target of the node at the address to the view of the acceptor. The acceptor prefers it to its
// local target, which is marked as cold.
func addRemoteTarget(t testing.TB, a *acceptor, address string) {
	t.Helper()
	a.peers = peer.NewClient("n1", peer.Options{})
	t.Cleanup(a.peers.Close)
	own := a.admitter.targets()
	for i := range own {
		own[i].Cold = true
	}
	other := model.Node{ID: "n2", Incarnation: 1, Region: "r", Domain: "d", PeerAddress: address}
	remote := model.Target{ID: "t2", Service: "s", Address: "127.0.0.1:1", Slots: 1, RampSlots: 1, Phase: model.PhaseReady}
	service := a.view.Load().Service("s").Service
	a.view.Store(core.BuildView(core.Inputs{
		Self:   a.self,
		Config: &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{"s": service}},
		Members: &membership.Snapshot{Members: map[model.NodeID]membership.Member{
			"n1": {Record: &model.NodeRecord{Node: a.self, Targets: own}},
			"n2": {Record: &model.NodeRecord{Node: other, Targets: []model.Target{remote}}},
		}},
		Loads: newLoads().of,
	}))
}

// Guards against an idempotent request that waits until its deadline for a node whose frames do not arrive.
func TestUnresponsiveNodeIsHedged(t *testing.T) {
	own := newBlockingTarget(t, "own")
	close(own.released)
	a, address := startHedging(t, own, nil)
	unresponsive := new(unresponsivePeer)
	addRemoteTarget(t, a, servePeers(t, unresponsive))
	if got := get(t, address); got != "200 own" {
		t.Errorf("response %q, want that of the local target", got)
	}
	if unresponsive.received.Load() != 1 {
		t.Errorf("the unresponsive node received %d attempts, want 1", unresponsive.received.Load())
	}
}
