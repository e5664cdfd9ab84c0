package distribution

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
)

// confirmationLate is the age of the newest confirmation from which a watcher reports that it waits for one: half of the
// time within which a change has to be active everywhere.
const confirmationLate = 1250 * time.Millisecond

// confirmationWait tracks how long this node has waited for a confirmation, and for what. Distributor.mu guards it.
type confirmationWait struct {
	// reported means that ConfirmationLate was reported for the current wait. The confirmation before it is of confirmedAt.
	reported    bool
	confirmedAt time.Duration
	// step is what the node waits for if it reads the store itself, since the time since.
	step  waitStep
	since time.Duration
}

// waitStep is a step of a node that reads the configuration from the store.
type waitStep string

// Steps of reading the configuration.
const (
	// stepNone means that no read of this node is pending or failed.
	stepNone  waitStep = "a confirmation by another node"
	stepRead  waitStep = "an answer of the store"
	stepPause waitStep = "the end of the pause after a failed read"
)

// setWaitStep records what this node waits for in reading the configuration.
func (d *Distributor) setWaitStep(prefix string, step waitStep) {
	if prefix != ConfigPrefix {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting.step, d.waiting.since = step, d.options.Now()
}

// checkConfirmationAge reports once when the newest confirmation is late, and once when there is one again.
func (d *Distributor) checkConfirmationAge() {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest, now := d.confirmation.newest(), d.options.Now()
	if !d.ready.Load() || newest == noResponseYet {
		return
	}
	age, limit := now-newest, d.confirmationLimit()
	switch {
	case !d.waiting.reported && age >= limit:
		d.waiting.reported, d.waiting.confirmedAt = true, newest
		if d.waiting.step == stepPause && d.waiting.since < newest {
			// The pause was in an earlier outage.
			d.waiting.step, d.waiting.since = stepNone, newest
		}
		d.options.Report(Event{
			Kind: ConfirmationLate, Revision: d.tables.config.Complete(), Age: age,
			Operation: fmt.Sprintf("%s for %v", d.waiting.step, (now - d.waiting.since).Round(time.Millisecond)),
		})
	case d.waiting.reported && age < limit:
		d.waiting.reported = false
		d.options.Report(Event{
			Kind: ConfirmationReceived, Revision: d.tables.config.Complete(), Age: newest - d.waiting.confirmedAt,
		})
	}
}

// confirmationLimit returns the age from which the newest confirmation is late at this node. A standby expects one within
// the time after which it reads the store itself. The caller holds d.mu.
func (d *Distributor) confirmationLimit() time.Duration {
	if d.watching {
		return confirmationLate
	}
	return max(confirmationLate, standInLimit(max(0, d.currentView().WatchRank(nil)-membership.WatchersPerDomain)))
}
