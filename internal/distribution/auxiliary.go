package distribution

import (
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// auxiliary is a table of documents that peers tell each other by the place in their change log, because the Pull
// protocol has one document revision and that one belongs to the configuration.
//
// A peer that has everything up to a place in the log has all documents of the table. So that it also knows up to which
// revision they are complete, a marker with the prefix as its key and that revision goes with them.
type auxiliary struct {
	prefix string
	table  *config.Table
	// positions are the places of the last changes in the change log of the members.
	positions map[string]uint64
	// markerPosition is the place of the last growth of the table's completeness.
	markerPosition uint64
	// rangePosition is the place of the last deletion that only the range tells.
	rangePosition uint64
}

func newAuxiliary(prefix string, maxTombstones int) *auxiliary {
	return &auxiliary{
		prefix:    prefix,
		table:     config.NewTable(prefix, maxTombstones),
		positions: map[string]uint64{},
	}
}

// mark gives the changed documents places in the change log.
func (a *auxiliary) mark(changed []config.Document, members *membership.Table) {
	for _, document := range changed {
		a.positions[document.Key] = members.ReservePosition()
	}
}

// markRange notes that a list or a peer's range told of deletions that have no document here.
func (a *auxiliary) markRange(members *membership.Table) { a.rangePosition = members.ReservePosition() }

// markAdvance notes that the completeness grew, and drops the places of deletions that were forgotten with it.
func (a *auxiliary) markAdvance(members *membership.Table) {
	a.markerPosition = members.ReservePosition()
	for key, position := range a.positions {
		if _, held := a.table.Get(key); !held {
			a.rangePosition = max(a.rangePosition, position)
			delete(a.positions, key)
		}
	}
}

// after returns the documents whose place is after cursor, with the range and the marker if theirs are.
func (a *auxiliary) after(cursor uint64) []config.Document {
	var found []config.Document
	for _, document := range a.table.Since(0) {
		position := a.positions[document.Key]
		if document.Key == a.prefix {
			position = a.rangePosition
		}
		if position > cursor {
			found = append(found, document)
		}
	}
	if a.markerPosition > cursor {
		found = append(found, config.Document{Key: a.prefix, Revision: a.table.CompleteForPeers()})
	}
	return found
}

// isMarker reports whether the document tells the completeness of an auxiliary table.
func isMarker(document config.Document, prefix string) bool {
	return document.Key == prefix && !document.Deleted
}
