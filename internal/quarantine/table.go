package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Table holds the losses and the runs of fingerprints on one node. It is not safe for concurrent use.
type Table struct {
	records map[Fingerprint]*record
	running map[model.TargetID]map[Fingerprint]run
	// targetCounts counts, for each fingerprint in flight, the targets that are running it.
	targetCounts map[Fingerprint]int
	successes    successes
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records:      make(map[Fingerprint]*record),
		running:      make(map[model.TargetID]map[Fingerprint]run),
		targetCounts: make(map[Fingerprint]int),
		successes:    newSuccesses(),
	}
}

// Len returns the number of fingerprints that have an entry.
func (t *Table) Len() int { return len(t.records) }

// Running returns the number of fingerprints in flight at the target.
func (t *Table) Running(target model.TargetID) int { return len(t.running[target]) }

// Entries returns the entries to propagate to other nodes, in order of their fingerprints.
func (t *Table) Entries(now time.Duration) []Entry {
	t.removeExpired(now)
	return t.sortedEntries(now)
}
