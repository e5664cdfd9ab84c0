package node

import (
	"testing"
	"time"
)

// Guards against passing on a request that arrives at a stopping node although it usually takes longer than the node has left.
func TestRequestThatOutlastsTheShutdownIsRefusedBeforeItRuns(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		want string
		runs int32
	}{
		"too late": {usualDurationInTest / 2, "503 not-run: node_stopping\n", 0},
		"in time":  {10 * usualDurationInTest, "200 one", 1},
	} {
		t.Run(name, func(t *testing.T) {
			target := newBlockingTarget(t, "one")
			close(target.released)
			a, address := startHedging(t, target, nil)
			a.attemptDurations.add("/s", usualDurationInTest)
			announceCutoff(a, c.left)
			checkResponse(t, get(t, address), c.want)
			if runs := target.runs.Load(); runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}
