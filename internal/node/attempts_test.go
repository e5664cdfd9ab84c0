package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against "not run" being told of a request one of whose attempts may have run: the refusal of a later attempt
// says nothing about the earlier ones.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	refused := verdict.Refused(verdict.Quarantined, nil)
	lost := verdict.Uncertain(verdict.UpstreamLost, nil)
	timedOut := verdict.Uncertain(verdict.UpstreamTimeout, nil)
	for name, c := range map[string]struct{ last, uncertain, want *verdict.Error }{
		"answered":                      {nil, lost, nil},
		"refused only":                  {refused, nil, refused},
		"refused after a loss":          {refused, lost, lost},
		"timed out after a loss":        {timedOut, lost, timedOut},
		"the only attempt may have run": {lost, lost, lost},
	} {
		if got := overall(c.last, c.uncertain); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an idempotent request that spends its whole time on a target that hangs, and against a target being
// given up for work that it usually takes long for.
func TestProgressTimeoutLeavesTimeForAnotherTarget(t *testing.T) {
	for name, c := range map[string]struct {
		firstByteMS, remainingMS int64
		usual, want              time.Duration
	}{
		"plenty of time":       {5000, 30000, 20 * time.Millisecond, 5 * time.Second},
		"short, quick target":  {5000, 4000, 20 * time.Millisecond, 2 * time.Second},
		"short, slow target":   {5000, 4000, 500 * time.Millisecond, 5 * time.Second},
		"short, unknown usual": {5000, 4000, 0, 5 * time.Second},
	} {
		if got := progressTimeout(c.firstByteMS, c.remainingMS, c.usual); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
