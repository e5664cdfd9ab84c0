// Package fakefleet implements an in-memory operator.Fleet for tests. It has the documents of a store, a fixed set of
// nodes, and faults that a test injects. The ages of its records are fixed, so that responses are the same in each run.
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
	mu        sync.Mutex
	revision  int64
	documents map[model.ServiceName]operator.StoredService
	// accounts are the stored groups by number.
	accounts   map[int]operator.StoredAccounts
	nodes      []operator.NodeStatus
	ejections  []operator.Ejection
	quarantine []operator.QuarantineEntry
	incomplete bool
	// pinned contains the nodes that keep their current configuration.
	pinned map[model.NodeID]bool
	// pinnedSnapshots is the number of snapshots after which all pinned nodes are unpinned; 0 keeps them
	// pinned.
	pinnedSnapshots int
	// faults are consumed by the next writes, one by each write.
	faults []Fault
	// beforeWrite runs once, before the revisions of the next write are compared. It acts as the change of another operator.
	beforeWrite func()
	writes      int
	history     []operator.StoredService
	// accountHistory contains every account group that was ever stored, in the order of revisions.
	accountHistory []operator.StoredAccounts
	// writeError is the error of all writes of accounts, nil for none.
	writeError error
	// shownAccounts are the accounts of all snapshots, nil for the stored ones.
	shownAccounts map[model.AccountName]*declaration.Account
}

var _ operator.Fleet = (*Fleet)(nil)

// New returns a fleet of four nodes in two regions. Each node has one local target of the service proofroom with 7 slots.
func New() *Fleet {
	fleet := &Fleet{
		documents: make(map[model.ServiceName]operator.StoredService),
		accounts:  make(map[int]operator.StoredAccounts),
		pinned:    make(map[model.NodeID]bool),
	}
	for i, place := range locations {
		fleet.nodes = append(fleet.nodes, newNode(i, place))
	}
	return fleet
}

// Put stores a document like the write of another operator and returns its revision.
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

// History returns every document that was ever stored, in the order of revisions.
func (f *Fleet) History() []operator.StoredService {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// store stores a document and propagates its revision to the nodes that are not pinned.
func (f *Fleet) store(document *declaration.Document) int64 {
	f.advanceRevision()
	stored := operator.StoredService{Document: *document, Revision: f.revision}
	f.documents[document.Name] = stored
	f.history = append(f.history, stored)
	return f.revision
}

func (f *Fleet) advanceRevision() {
	f.revision++
	f.writes++
	f.propagateRevision()
}

func (f *Fleet) propagateRevision() {
	for i := range f.nodes {
		if !f.pinned[f.nodes[i].Record.ID] {
			f.nodes[i].Record.ConfigRevision = f.revision
		}
	}
}
