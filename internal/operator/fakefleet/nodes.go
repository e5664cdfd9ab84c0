package fakefleet

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
)

const (
	targetSlots = 7
	// ageStep is the difference in age between the records of two consecutive nodes.
	ageStep = 20 * time.Millisecond
	// unresponsiveAge is the age of the record of an unresponsive node.
	unresponsiveAge = 30 * time.Second
)

type location struct {
	region model.Region
	domain model.FailureDomain
}

var locations = []location{
	{"tas-south", "hobart-a"}, {"tas-south", "hobart-b"}, {"tas-north", "launceston-a"}, {"tas-north", "launceston-b"},
}

func newNode(index int, loc location) operator.NodeStatus {
	number := index + 1
	target := model.Target{
		ID:        model.TargetID(fmt.Sprintf("proof-%d", number)),
		Service:   "proofroom",
		Address:   fmt.Sprintf("192.0.2.%d:8080", number),
		Slots:     targetSlots,
		RampSlots: targetSlots,
		Phase:     model.PhaseReady,
		Successes: uint64(100 * number),
		FirstByte: time.Millisecond,
	}
	record := model.NodeRecord{Targets: []model.Target{target}}
	record.ID = model.NodeID(fmt.Sprintf("n%d", number))
	record.Incarnation = 1
	record.Region = loc.region
	record.Domain = loc.domain
	record.OperatorAddress = fmt.Sprintf("192.0.2.%d:7003", number)
	return operator.NodeStatus{Record: record, Age: time.Duration(index) * ageStep}
}

// SetUnresponsive marks a node as unresponsive, and its record as unresponsiveAge old.
func (f *Fleet) SetUnresponsive(id model.NodeID) {
	f.editNode(id, func(node *operator.NodeStatus) {
		node.Unresponsive = true
		node.Age = unresponsiveAge
	})
}

// PinConfig keeps a node at its current configuration.
func (f *Fleet) PinConfig(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pinned[id] = true
}

// UnpinConfig ends PinConfig. The node applies the newest configuration.
func (f *Fleet) UnpinConfig(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pinned, id)
	f.propagateRevision()
}

// PinConfigFor keeps a node at its current configuration until Snapshot was called the given number of times.
func (f *Fleet) PinConfigFor(id model.NodeID, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pinned[id] = true
	f.pinnedSnapshots = snapshots
}

// countSnapshot counts a call of Snapshot and ends PinConfigFor after the last one.
func (f *Fleet) countSnapshot() {
	if f.pinnedSnapshots == 0 {
		return
	}
	f.pinnedSnapshots--
	if f.pinnedSnapshots == 0 {
		clear(f.pinned)
		f.propagateRevision()
	}
}

// Suspect marks the local target of a node as suspected and ejects it.
func (f *Fleet) Suspect(id model.NodeID) {
	f.editNode(id, func(node *operator.NodeStatus) {
		target := &node.Record.Targets[0]
		target.Suspected = true
		f.ejections = append(f.ejections, operator.Ejection{
			Target: target.ID, Service: target.Service, Fleetwide: true, Cause: "failure rate", Since: time.Second,
			Remaining: time.Minute,
		})
	})
}

// SetIncomplete makes snapshots report that the node has not read the whole configuration.
func (f *Fleet) SetIncomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incomplete = true
}

func (f *Fleet) editNode(id model.NodeID, edit func(*operator.NodeStatus)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i].Record.ID == id {
			edit(&f.nodes[i])
		}
	}
}
