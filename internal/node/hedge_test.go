package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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
	a.admitter = newAdmitter(a.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashes(a.clock, a.self, nil, log))
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
