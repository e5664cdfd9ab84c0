// Package fakefleet is an operator.Fleet in memory for tests. It holds the documents of a store, a fixed set of nodes,
// and faults that a test injects. Its facts have fixed ages, so that answers are the same in each run.
package fakefleet

import (
	"slices"
	"sync"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
)

// Fleet implements operator.Fleet. Its methods are safe for concurrent use.
type Fleet struct {
	mu         sync.Mutex
	revision   int64
	documents  map[model.ServiceName]operator.StoredService
	nodes      []operator.NodeFacts
	ejections  []operator.Ejection
	quarantine []operator.QuarantineEntry
	incomplete bool
	// held nodes take no new configuration.
	held map[model.NodeID]bool
	// snapshotsHeld is the number of snapshots after which all held nodes are released; 0 keeps them held.
	snapshotsHeld int
	// faults are consumed by the next writes, one each.
	faults []Fault
	// before runs once, before the next write is compared, as the change of another operator.
	before  func()
	writes  int
	history []operator.StoredService
}

var _ operator.Fleet = (*Fleet)(nil)

// New returns a fleet of four nodes in two regions, each beside one target of the service proofroom with 7 slots.
func New() *Fleet {
	fleet := &Fleet{
		documents: make(map[model.ServiceName]operator.StoredService),
		held:      make(map[model.NodeID]bool),
	}
	for i, place := range places {
		fleet.nodes = append(fleet.nodes, newNode(i, place))
	}
	return fleet
}

// Put stores a document as another operator would, and returns its revision.
func (f *Fleet) Put(document declaration.Document) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store(&document)
}

// Writes returns the number of writes that took effect.
func (f *Fleet) Writes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

// History returns every document that was ever in force, in the order of revisions.
func (f *Fleet) History() []operator.StoredService {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// store puts a document and spreads its revision to the nodes that are not held.
func (f *Fleet) store(document *declaration.Document) int64 {
	f.advance()
	stored := operator.StoredService{Document: *document, Revision: f.revision}
	f.documents[document.Name] = stored
	f.history = append(f.history, stored)
	return f.revision
}

func (f *Fleet) advance() {
	f.revision++
	f.writes++
	f.spread()
}

func (f *Fleet) spread() {
	for i := range f.nodes {
		if !f.held[f.nodes[i].Record.ID] {
			f.nodes[i].Record.ConfigRevision = f.revision
		}
	}
}
