package node

import (
	"net"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// Guards against the planned exit of a target that counts as a crash caused by the requests that it breaks off.
func TestExitOfLeavingTargetIsNoCrash(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	for _, leaving := range []bool{false, true} {
		log := events.New(discardLog{}, time.Now)
		crashes := newCrashTracker(newClock(), model.Node{ID: "n1"}, nil, log)
		a := newAdmitter(newClock(), 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), crashes)
		t.Cleanup(a.upstreams.Close)
		_, err := a.announce(admission.Announcement{
			Service: "s", Target: "t1", Address: address, Slots: 1, Phase: model.PhaseReady, StartTimeMS: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		head := &peerv1.ForwardHead{Fingerprint: 1, Target: "t1", Service: "s"}
		if err := crashes.begin(head); err != nil {
			t.Fatal(err)
		}
		if leaving {
			a.deregister("t1", 1, 2)
		}
		a.recordCrash(address, head, upstream.Result{Outcome: upstream.Lost})
		if counted := len(crashes.entries()) > 0; counted == leaving {
			t.Errorf("leaving: %v; the exit counts as a crash: %v", leaving, counted)
		}
	}
}
