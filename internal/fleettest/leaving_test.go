package fleettest

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// leavingLimit is the time after which an upstream that is leaving receives no new work (design 2.1).
const leavingLimit = 3 * time.Second

// Guards against nodes that go on choosing a target that is leaving. Promise: no new work after the limit, and no
// request fails because of the drain.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	draining := s.Targets("reads")[0]
	stop := s.readUntilStopped()
	s.must(draining.DrainAndHold(s.ctx))
	s.must(draining.WaitAccepted(s.ctx, "draining"))
	accepted := time.Now()
	s.await("the limit", func() error {
		if time.Since(accepted) < leavingLimit {
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

// readUntilStopped reads through all nodes until the returned function is called.
func (s *scene) readUntilStopped() (stop func()) {
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

// longBytes is more than the buffers between an upstream and a caller hold.
const longBytes = 48 << 20

// Guards against a planned stop that cuts answers. Promise: SIGTERM of the accepting and of the admitting node, each in
// the midst of long archives, cuts nothing, and the daemons exit by themselves.
func TestTerminatedDaemonsFinishLongArchives(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	accepting := s.nodesOf("ops")[0]
	admitting := s.nodesOf("reads")[0]
	// With the other target draining, the archives run beside the admitting node.
	other := s.Targets("reads")[1]
	s.must(other.DrainAndHold(s.ctx))
	s.must(other.WaitAccepted(s.ctx, "draining"))
	const archives = 3
	var begun, wait sync.WaitGroup
	release := make(chan struct{})
	answers := make([]Answer, archives)
	begun.Add(archives)
	for i := range archives {
		wait.Go(func() {
			var once sync.Once
			arrived := func() { once.Do(begun.Done) }
			defer arrived()
			answers[i] = s.caller.Fetch(s.ctx, accepting.Callers, Request{
				Path: readPath, Token: "archive", Size: longBytes,
				Midway: func() {
					arrived()
					<-release
				},
			})
		})
	}
	begun.Wait()
	s.must(accepting.Terminate())
	s.must(admitting.Terminate())
	// The archives go on only after the listener is closed, when a daemon that does not wait for them would be gone.
	s.await("the accepting node to close its listener", func() error {
		c, err := net.Dial("tcp", accepting.Callers)
		if err != nil {
			return nil
		}
		_ = c.Close()
		return errors.New("it takes connections")
	})
	close(release)
	wait.Wait()
	for i, answer := range answers {
		if !answer.Whole || answer.Target != s.Targets("reads")[0].Target {
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

// Guards against a planned stop that fails short requests at the same moment. Promise: callers of the other nodes get
// every answer while one daemon stops.
func TestTerminatedDaemonUnderTraffic(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	leaving := s.nodesOf("reads")[0]
	others := []*Node{s.nodesOf("reads")[1], s.nodesOf("ops")[0]}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.readAll(others, "during", 200)
	}()
	s.must(leaving.Terminate())
	status, err := leaving.Wait(s.ctx)
	s.must(err)
	if status != 0 {
		t.Errorf("exit status %d", status)
	}
	<-done
	s.readAll(others, "after", 40)
}
