package tour

import (
	"sync"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// tally counts the responses of one flow.
type tally struct {
	mu    sync.Mutex
	sent  int
	bytes int64
	// outcomes counts responses by outcome.
	outcomes map[string]int
	// violations describes responses that violate a guarantee.
	violations []string
	// refused lists the operations whose last response reported that they were not run.
	refused []string
	// complete lists the operations with a complete response.
	complete []string
}

func newTally() *tally { return &tally{outcomes: map[string]int{}} }

func (t *tally) add(a fleettest.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.bytes += a.Bytes
	t.outcomes[a.Outcome()]++
}

func (t *tally) addViolation(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, text)
}

// recordOperation records an operation by its last response.
func (t *tally) recordOperation(operation string, a fleettest.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.Complete:
		t.complete = append(t.complete, operation)
	case a.Verdict == fleettest.NotRun:
		t.refused = append(t.refused, operation)
	}
}
