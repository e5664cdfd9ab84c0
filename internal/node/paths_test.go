package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against checking a failing path too often, and against avoiding a path after a successful call.
func TestPathBackoff(t *testing.T) {
	p := newPaths()
	node := model.Node{ID: "n", PeerAddress: "127.0.0.1:1"}
	if !p.recordFailure(0, node) || p.recordFailure(0, node) {
		t.Error("recordFailure does not report a change for exactly the first failure")
	}
	now, gaps := time.Duration(0), []time.Duration{}
	for range 7 {
		start := now
		for len(p.due(now)) == 0 {
			now += 100 * time.Millisecond
		}
		gaps = append(gaps, now-start)
		p.recordFailure(now, node)
	}
	for i, gap := range gaps {
		if want := min(minPathBackoff<<i, maxPathBackoff); gap != want {
			t.Errorf("gap %d: %s, want %s", i, gap, want)
		}
	}
	if !p.recordSuccess("n") || p.recordSuccess("n") || len(p.avoided()) != 0 {
		t.Error("a path is still avoided after a successful call, or a second success reports a change")
	}
}
