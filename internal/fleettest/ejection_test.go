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

// ejectionLayout returns a layout with four targets of reads and a capacity floor of two of them.
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

// permits returns the entries of the permit document of the service reads.
func (s *testFleet) permits() []eject.Entry {
	s.t.Helper()
	request := connect.NewRequest(&storev1.GetRequest{Key: eject.Key("reads")})
	response, err := s.Store.client().Get(s.ctx, request)
	s.must(err)
	doc, err := eject.Decode(response.Msg.Kv.GetValue())
	s.must(err)
	return doc.Entries
}

// awaitColdStartEnd waits until the slow-start ramps have ended. Until then the capacity floor allows no ejection.
func (s *testFleet) awaitColdStartEnd() {
	s.t.Helper()
	s.await("the end of the slow-start ramps", func() error {
		output, err := s.Control(s.ctx, s.Nodes[0], "", "exec", "show targets where service = reads and ramp < 8 columns target, ramp, slots, phase")
		if err != nil {
			return err
		}
		if strings.Contains(output, "\nreads-") {
			return errors.Errorf("targets still in slow start: %q", output)
		}
		return nil
	})
}

// readInBackground sends reads through all nodes until the test ends.
func (s *testFleet) readInBackground() {
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

// Guards against failing targets that are never ejected, that are ejected beyond the allowed share of a service, or
// that never return. Two of four targets fail. At most eject.MaxEjected of them may get a permit, reads must move to
// the healthy targets, every node must show the ejection, and the targets must return after the fault is removed.
func TestFailingTargetsAreEjectedAndReturn(t *testing.T) {
	s := start(t, ejectionLayout())
	s.readInBackground()
	s.awaitColdStartEnd()
	failing := s.Targets("reads")[:2]
	s.setFaults(failing, fakeupstream.Faults{FailWork: true})
	limit := eject.MaxEjected(len(s.Targets("reads")))
	s.await("a permit", func() error {
		if len(s.permits()) == 0 {
			return errors.New("no permit")
		}
		return nil
	})
	s.awaitCompleteReads("after", 10)
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
		time.Sleep(pollInterval)
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
