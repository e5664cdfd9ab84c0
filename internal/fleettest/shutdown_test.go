package fleettest

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// drainLimit is the time after which a draining upstream receives no new requests (design 2.1).
const drainLimit = 3 * time.Second

// Guards against nodes that still choose a draining target. It may receive no new requests after drainLimit, and no
// request may fail because of the drain.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	draining := s.Targets("reads")[0]
	stop := s.readUntilStopped()
	s.must(draining.DrainAndHold(s.ctx))
	s.must(draining.WaitAccepted(s.ctx, "draining"))
	accepted := time.Now()
	s.await("the limit", func() error {
		if time.Since(accepted) < drainLimit {
			return errors.New("not yet")
		}
		return nil
	})
	before, err := draining.Status(s.ctx)
	s.must(err)
	s.readAll(s.Nodes, "after", 100)
	stop()
	after, err := draining.Status(s.ctx)
	s.must(err)
	if after.Started != before.Started {
		t.Errorf("%d requests began after the limit", after.Started-before.Started)
	}
}

// readUntilStopped sends reads through all nodes until stop is called.
func (s *testFleet) readUntilStopped() (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var wait sync.WaitGroup
	for _, node := range s.Nodes {
		wait.Go(func() {
			for ctx.Err() == nil {
				s.read(node, "background-"+node.ID, maxReadBytes)
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// largeBodyBytes is more than fits into the buffers between an upstream and a caller.
const largeBodyBytes = 48 << 20

// Guards against a graceful shutdown that truncates responses. The accepting and the admitting node get SIGTERM in the
// middle of long responses. All responses must be complete, and both daemons must exit with status 0.
func TestTerminatedDaemonsFinishLongArchives(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	accepting := s.nodesOf("ops")[0]
	admitting := s.nodesOf("reads")[0]
	// The other target is draining, so all archives come from the target of the admitting node.
	other := s.Targets("reads")[1]
	s.must(other.DrainAndHold(s.ctx))
	s.must(other.WaitAccepted(s.ctx, "draining"))
	const archives = 3
	var started, wait sync.WaitGroup
	release := make(chan struct{})
	answers := make([]Answer, archives)
	started.Add(archives)
	for i := range archives {
		wait.Go(func() {
			var once sync.Once
			arrived := func() { once.Do(started.Done) }
			defer arrived()
			answers[i] = s.caller.Fetch(s.ctx, accepting.Callers, Request{
				Path: readPath, Token: "archive", Size: largeBodyBytes,
				OnFirstBytes: func() {
					arrived()
					<-release
				},
			})
		})
	}
	started.Wait()
	s.must(accepting.Terminate())
	s.must(admitting.Terminate())
	// The archives continue only after the listener is closed. A daemon that does not wait for them has exited by then.
	s.await("the accepting node to close its listener", func() error {
		c, err := net.Dial("tcp", accepting.Callers)
		if err != nil {
			return nil
		}
		_ = c.Close()
		return errors.New("the listener still accepts connections")
	})
	close(release)
	wait.Wait()
	for i, answer := range answers {
		if !answer.Complete || answer.Target != s.Targets("reads")[0].Target {
			t.Errorf("archive %d: %s by %q after %d bytes: %v", i, answer.Outcome(), answer.Target, answer.Bytes, answer.Err)
		}
	}
	for _, node := range []*Node{accepting, admitting} {
		status, err := node.Wait(s.ctx)
		s.must(err)
		if status != 0 {
			t.Errorf("%s: exit status %d", node.ID, status)
		}
	}
}

// Guards against a graceful shutdown that makes concurrent short requests fail. Every request through the other nodes
// must get a complete response while one daemon stops.
func TestTerminatedDaemonUnderTraffic(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	terminated := s.nodesOf("reads")[0]
	others := []*Node{s.nodesOf("reads")[1], s.nodesOf("ops")[0]}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.readAll(others, "during", 200)
	}()
	s.must(terminated.Terminate())
	status, err := terminated.Wait(s.ctx)
	s.must(err)
	if status != 0 {
		t.Errorf("exit status %d", status)
	}
	<-done
	s.readAll(others, "after", 40)
}

// Guards against a stopping node that closes the connection of an operation that outlasts the grace period, without an
// answer. The caller must learn that the operation may have run, and a client retry may not run it again.
func TestOperationOutlastingTheGracePeriodIsAnswered(t *testing.T) {
	s := startWith(t, Options{
		Layout:   layoutOf(1, 1),
		Settings: map[string]map[string]string{"shutdown": {"grace": "3s", "lame_duck": "100ms"}},
	})
	accepting := s.nodesOf("reads")[0]
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{Hang: true})
	first := s.startOperation(accepting, operation("op-1"))
	s.awaitInFlight("ops")
	s.must(accepting.Terminate())
	answer := <-first
	if answer.Err != nil || answer.Verdict != MayHaveRun {
		t.Errorf("the running operation has outcome %s, error %v; want %s", answer.Outcome(), answer.Err, MayHaveRun)
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
	retried := s.retryUntilResolved(s.nodesOf("ops")[0], operation("op-1"))
	s.checkAtMostOnce("op-1", answer, retried)
}
