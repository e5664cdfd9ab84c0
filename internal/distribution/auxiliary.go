package distribution

import (
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// auxiliaryTable is a table of documents that peers send each other by their position in the member change log. They
// cannot be sent by revision: the Pull protocol has only one document revision, which belongs to the configuration.
//
// A peer that has received everything up to a position of the log has all documents of the table up to there. To also
// send the revision up to which these documents are complete, a marker document is added, with the prefix as its key
// and that revision.
type auxiliaryTable struct {
	prefix string
	table  *config.Table
	// positions maps a document key to the position of its last change in the member change log.
	positions map[string]uint64
	// markerPosition is the log position at which the table's complete revision last increased.
	markerPosition uint64
	// rangePosition is the log position of the last deletion that is reported only by the range document.
	rangePosition uint64
}

func newAuxiliaryTable(prefix string, maxTombstones int) *auxiliaryTable {
	return &auxiliaryTable{
		prefix:    prefix,
		table:     config.NewTable(prefix, maxTombstones),
		positions: map[string]uint64{},
	}
}

// recordChanges assigns positions in the change log to the changed documents.
func (a *auxiliaryTable) recordChanges(changed []config.Document, members *membership.Table) {
	for _, document := range changed {
		a.positions[document.Key] = members.ReservePosition()
	}
}

// recordRange assigns a log position to deletions that a list or a peer's range reported and that have no document
// here.
func (a *auxiliaryTable) recordRange(members *membership.Table) {
	a.rangePosition = members.ReservePosition()
}

// recordAdvance assigns a log position to a new complete revision. It replaces the positions of deletions whose
// tombstones were removed by the position of the range, which now covers them.
func (a *auxiliaryTable) recordAdvance(members *membership.Table) {
	a.markerPosition = members.ReservePosition()
	for key, position := range a.positions {
		if _, present := a.table.Get(key); !present {
			a.rangePosition = max(a.rangePosition, position)
			delete(a.positions, key)
		}
	}
}

// documentsAfter returns the documents with a position after cursor, and the range and the marker if their positions
// are after it too.
func (a *auxiliaryTable) documentsAfter(cursor uint64) []config.Document {
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

// isMarker reports whether the document is the marker that carries the complete revision of an auxiliary table.
func isMarker(document config.Document, prefix string) bool {
	return document.Key == prefix && !document.Deleted
}
