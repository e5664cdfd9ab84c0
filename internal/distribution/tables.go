package distribution

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Prefixes of the store that are distributed.
const (
	ConfigPrefix     = "config/"
	EjectionPrefix   = "ejections/"
	QuarantinePrefix = "quarantine/"
	MemberPrefix     = "members/"
)

// auxiliary is a table of documents that peers tell each other by the place in their change log, because the Pull
// protocol has one document revision and that one belongs to the configuration.
type auxiliary struct {
	prefix string
	table  *config.Table
	// positions are the places of the last changes in the change log of the members.
	positions map[string]uint64
}

func newAuxiliary(prefix string, maxTombstones int) *auxiliary {
	return &auxiliary{
		prefix:    prefix,
		table:     config.NewTable(prefix, maxTombstones),
		positions: map[string]uint64{},
	}
}

// mark gives each changed document a place in the change log and drops those of forgotten documents.
func (a *auxiliary) mark(changed []config.Document, members *membership.Table) {
	for _, document := range changed {
		a.positions[document.Key] = members.Reserve()
	}
	for key := range a.positions {
		if _, held := a.table.Get(key); !held {
			delete(a.positions, key)
		}
	}
}

// after returns the documents whose place is after cursor, all with the range of deletions if cursor is 0.
func (a *auxiliary) after(cursor uint64) []config.Document {
	documents := a.table.Since(0)
	if cursor == 0 {
		return documents
	}
	var found []config.Document
	for _, document := range documents {
		if a.positions[document.Key] > cursor {
			found = append(found, document)
		}
	}
	return found
}

// tables hold what the node knows. The lock of the Distributor guards them.
type tables struct {
	members    *membership.Table
	config     *config.Table
	ejections  *auxiliary
	quarantine *auxiliary
}

// table returns the table that holds the key or prefix, nil if it is not distributed.
func (t *tables) table(key string) *config.Table {
	switch {
	case strings.HasPrefix(key, ConfigPrefix):
		return t.config
	case strings.HasPrefix(key, EjectionPrefix):
		return t.ejections.table
	case strings.HasPrefix(key, QuarantinePrefix):
		return t.quarantine.table
	}
	return nil
}

// mark records the changes of auxiliary documents in the change log.
func (t *tables) mark(key string, changed []config.Document) {
	switch {
	case strings.HasPrefix(key, EjectionPrefix):
		t.ejections.mark(changed, t.members)
	case strings.HasPrefix(key, QuarantinePrefix):
		t.quarantine.mark(changed, t.members)
	}
}
