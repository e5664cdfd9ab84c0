package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a path that is tried again too often while it fails, and against one that stays avoided after it works.
func TestPathsAreAvoidedForLongerEachTime(t *testing.T) {
	p := newPaths()
	node := model.Node{ID: "n", PeerAddress: "127.0.0.1:1"}
	if !p.failed(0, node) || p.failed(0, node) {
		t.Error("the first failure changes the view, the second one does not")
	}
	now, gaps := time.Duration(0), []time.Duration{}
	for range 7 {
		start := now
		for len(p.due(now)) == 0 {
			now += 100 * time.Millisecond
		}
		gaps = append(gaps, now-start)
		p.failed(now, node)
	}
	for i, gap := range gaps {
		if want := min(pathAvoidMin<<i, pathAvoidMax); gap != want {
			t.Errorf("gap %d: %s, want %s", i, gap, want)
		}
	}
	if !p.worked("n") || p.worked("n") || len(p.avoided()) != 0 {
		t.Error("a working path is avoided")
	}
}
