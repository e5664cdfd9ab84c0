package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against reporting not-run for a request although an attempt may have run, because a later attempt was refused.
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
		if got := combinedOutcome(c.last, c.uncertain); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an idempotent request that waits for a hanging target until its deadline, and against aborting an
// attempt at a target whose baseline time to first byte is long.
func TestProgressTimeoutLeavesTimeForAnotherTarget(t *testing.T) {
	for name, c := range map[string]struct {
		firstByteMS, remainingMS int64
		baseline, want           time.Duration
	}{
		"plenty of time":      {5000, 30000, 20 * time.Millisecond, 5 * time.Second},
		"short, quick target": {5000, 4000, 20 * time.Millisecond, 2 * time.Second},
		"short, slow target":  {5000, 4000, 500 * time.Millisecond, 5 * time.Second},
		"short, no baseline":  {5000, 4000, 0, 5 * time.Second},
	} {
		if got := progressTimeout(c.firstByteMS, c.remainingMS, c.baseline); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
