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

// heldTarget answers when it is released and counts its runs.
type heldTarget struct {
	address  string
	runs     atomic.Int32
	released chan struct{}
	// ended counts the runs whose request was given up.
	ended atomic.Int32
}

func newHeldTarget(t *testing.T, name string) *heldTarget {
	t.Helper()
	h := &heldTarget{released: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.runs.Add(1)
		select {
		case <-h.released:
			_, _ = fmt.Fprint(w, name)
		case <-r.Context().Done():
			h.ended.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

// startHedging serves an acceptor with targets t1 and t2, of one slot each, beside its own node. Requests of /s are overdue
// after 0.15 s.
func startHedging(t *testing.T, first, second *heldTarget) (*acceptor, string) {
	t.Helper()
	a, address := startAcceptor(t)
	a.self = model.Node{ID: "n1", Incarnation: 1, Region: "r", Domain: "d"}
	a.paths, a.pathChanged = newPaths(), func() {}
	log := events.New(discardLog{}, time.Now)
	a.admitter = newAdmitter(a.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashTracker(a.clock, a.self, nil, log))
	t.Cleanup(a.admitter.upstreams.Close)
	for id, target := range map[model.TargetID]*heldTarget{"t1": first, "t2": second} {
		if target == nil {
			continue
		}
		err := a.admitter.announce(admission.Announcement{Service: "s", Target: id, Address: target.address, Slots: 1, Phase: model.PhaseReady})
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
	res, err := exchange(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body := make([]byte, 64)
	n, _ := res.Body.Read(body)
	return fmt.Sprintf("%d %s", res.StatusCode, body[:n])
}

// Guards against an idempotent request that waits for a target which hangs while another one would serve it.
func TestOverdueRequestIsHedged(t *testing.T) {
	first, second := newHeldTarget(t, "one"), newHeldTarget(t, "two")
	_, address := startHedging(t, first, second)
	// Whichever target is asked first hangs; the other one answers at once.
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
		t.Fatalf("answer %q", got)
	}
	if first.runs.Load() != 1 || second.runs.Load() != 1 {
		t.Errorf("%d and %d runs, want one at each target", first.runs.Load(), second.runs.Load())
	}
}

// Guards against an overdue run being given up while no other target takes the request: it may only be slow.
func TestSlowRunGoesOnWithoutAnotherTarget(t *testing.T) {
	only := newHeldTarget(t, "slow")
	_, address := startHedging(t, only, nil)
	go func() {
		time.Sleep(500 * time.Millisecond)
		close(only.released)
	}()
	if got := get(t, address); got != "200 slow" {
		t.Errorf("answer %q, want the slow one", got)
	}
	if only.runs.Load() != 1 || only.ended.Load() != 0 {
		t.Errorf("%d runs, %d given up", only.runs.Load(), only.ended.Load())
	}
}

// mutePeer is a node that takes attempts and says nothing of them.
type mutePeer struct {
	peer.Handler
	taken atomic.Int32
}

func (m *mutePeer) Hello(*peerv1.HelloRequest) *peerv1.HelloResponse {
	return &peerv1.HelloResponse{Node: "n2", Incarnation: 1}
}

func (m *mutePeer) Forward(ctx context.Context, _ *peerv1.ForwardHead, _ peer.Body, _ peer.Sink) *peerv1.AnswerTrailer {
	m.taken.Add(1)
	<-ctx.Done()
	return &peerv1.AnswerTrailer{}
}

// startMutePeer serves the node and returns its address.
func startMutePeer(t *testing.T, m *mutePeer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.NewServer(m, 1<<20, peer.Options{}).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// addRemoteTarget makes the acceptor know a target beside the node at the address, which is preferred to its own.
func addRemoteTarget(t *testing.T, a *acceptor, address string) {
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

// Guards against an idempotent request that waits until its deadline for a node whose frames do not come back.
func TestMuteNodeIsHedged(t *testing.T) {
	own := newHeldTarget(t, "own")
	close(own.released)
	a, address := startHedging(t, own, nil)
	mute := new(mutePeer)
	addRemoteTarget(t, a, startMutePeer(t, mute))
	if got := get(t, address); got != "200 own" {
		t.Errorf("answer %q, want that of the own target", got)
	}
	if mute.taken.Load() != 1 {
		t.Errorf("the mute node took %d attempts, want 1", mute.taken.Load())
	}
}
