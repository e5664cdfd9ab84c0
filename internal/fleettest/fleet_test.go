package fleettest

import (
	"context"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// Guards against processes that outlive their fleet, including paused ones.
func TestCloseEndsEveryProcess(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	s.must(s.Nodes[0].Pause())
	processes := s.processes()
	s.Close()
	for _, p := range processes {
		if err := syscall.Kill(p.cmd.Process.Pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("%s: %v; want no such process", p.Name(), err)
		}
	}
}

// Guards against a WaitReady that keeps waiting for a daemon that has already exited.
func TestWaitReadyFailsWhenDaemonExits(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	s.Nodes[0].Kill()
	if err := s.Nodes[0].WaitReady(context.Background()); err == nil {
		t.Error("a killed daemon is ready")
	}
}
