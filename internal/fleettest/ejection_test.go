package fleettest

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/eject"
	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// ejectionLayout has four targets and a floor of two of them.
func ejectionLayout() Layout {
	layout := layoutOf(4, 1)
	layout.Declarations = `declare service reads {
  floor 16 slots;
  policy dala;
  route GET "/reads" { timeout 20s; }
}
declare service ops {
  policy dala;
  route POST "/ops" { class non-idempotent; timeout 20s; }
}
`
	return layout
}

// permits returns the entries of the permit document of the reads.
func (s *scene) permits() []eject.Entry {
	s.t.Helper()
	request := connect.NewRequest(&storev1.GetRequest{Key: eject.Key("reads")})
	response, err := s.Store.client().Get(s.ctx, request)
	s.must(err)
	doc, err := eject.Decode(response.Msg.Kv.GetValue())
	s.must(err)
	return doc.Entries
}

// awaitWarm waits until the cold-start ramps are over: before, the floor allows no ejection.
func (s *scene) awaitWarm() {
	s.t.Helper()
	s.await("warm targets", func() error {
		output, err := s.Control(s.ctx, s.Nodes[0], "", "exec", "show targets where service = reads and ramp < 8 columns target, ramp, slots, phase")
		if err != nil {
			return err
		}
		if strings.Contains(output, "\nreads-") {
			return errors.Errorf("still warming: %q", output)
		}
		return nil
	})
}

// keepReading sends reads through all nodes until the test ends.
func (s *scene) keepReading() {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			s.caller.Fetch(ctx, s.Nodes[i%len(s.Nodes)].Callers, Request{Path: readPath, Token: "load", Size: 10})
		}
	}()
}

// Guards against failing targets that are never ejected, that are ejected beyond the share of a service at a time, and
// that never return. Promise: two of four targets fail; permits go to at most eject.MaxEjected of them, reads come to be
// answered by the healthy ones, every node shows the ejection, and the targets return once they work again.
func TestFailingTargetsAreEjectedAndReturn(t *testing.T) {
	s := start(t, ejectionLayout())
	s.keepReading()
	s.awaitWarm()
	failing := s.Targets("reads")[:2]
	s.setFaults(failing, fakeupstream.Faults{FailWork: true})
	limit := eject.MaxEjected(len(s.Targets("reads")))
	s.await("a permit", func() error {
		if len(s.permits()) == 0 {
			return errors.New("no permit")
		}
		return nil
	})
	s.awaitWhole("after", 10)
	s.await("every node to show the ejection", func() error {
		for _, node := range s.Nodes {
			output, err := s.Control(s.ctx, node, "", "exec", "show ejections where scope = fleet")
			if err != nil {
				return err
			}
			if !strings.Contains(output, "\nreads-") {
				return errors.Errorf("%s shows %q", node.ID, output)
			}
		}
		return nil
	})
	for range 20 {
		if entries := s.permits(); len(entries) > limit {
			t.Fatalf("%d permits, at most %d are allowed: %v", len(entries), limit, entries)
		}
		time.Sleep(pollPeriod)
	}
	s.setFaults(failing, fakeupstream.Faults{})
	s.await("the targets to return", func() error {
		output, err := s.Control(s.ctx, s.Nodes[0], "", "exec", "show ejections")
		if err != nil {
			return err
		}
		if strings.Contains(output, "\nreads-") {
			return errors.Errorf("still %q", output)
		}
		return nil
	})
}
