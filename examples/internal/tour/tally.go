package tour

import (
	"sync"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// tally counts the answers of one flow.
type tally struct {
	mu    sync.Mutex
	sent  int
	bytes int64
	// outcomes counts answers by their outcome.
	outcomes map[string]int
	// faults describe answers that no promise allows.
	faults []string
	// refused lists operations whose last answer was that they were not run.
	refused []string
	// whole lists operations that were answered whole.
	whole []string
}

func newTally() *tally { return &tally{outcomes: map[string]int{}} }

func (t *tally) add(a fleettest.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.bytes += a.Bytes
	t.outcomes[a.Outcome()]++
}

func (t *tally) fault(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, text)
}

// settle records how an operation ended.
func (t *tally) settle(operation string, a fleettest.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.Complete:
		t.whole = append(t.whole, operation)
	case a.Verdict == fleettest.NotRun:
		t.refused = append(t.refused, operation)
	}
}
