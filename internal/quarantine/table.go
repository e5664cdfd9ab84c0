package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Table is what one node knows about fingerprints. It is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]*record
	running map[model.TargetID]map[Fingerprint]int
	// targets counts, for each fingerprint in flight, the targets that run it.
	targets map[Fingerprint]int
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[Fingerprint]*record),
		running: make(map[model.TargetID]map[Fingerprint]int),
		targets: make(map[Fingerprint]int),
	}
}

// Len returns the number of fingerprints that have an entry.
func (t *Table) Len() int { return len(t.entries) }

// Running returns the number of fingerprints in flight at the target.
func (t *Table) Running(target model.TargetID) int { return len(t.running[target]) }

// Entries returns the entries to exchange with other nodes, in order of their fingerprints.
func (t *Table) Entries(now time.Duration) []Entry {
	t.expire(now)
	return t.sorted(now)
}
