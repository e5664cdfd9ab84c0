package fakefleet

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
)

const (
	// targetSlots is the number of slots of each target.
	targetSlots = 7
	// ageStep is the difference in age between the facts of two nodes.
	ageStep = 20 * time.Millisecond
	// silentAge is the age of the facts of a silent node.
	silentAge = 30 * time.Second
)

type place struct {
	region model.Region
	domain model.FailureDomain
}

var places = []place{
	{"tas-south", "hobart-a"}, {"tas-south", "hobart-b"}, {"tas-north", "launceston-a"}, {"tas-north", "launceston-b"},
}

func newNode(index int, at place) operator.NodeFacts {
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
	record.Region = at.region
	record.Domain = at.domain
	record.OperatorAddress = fmt.Sprintf("192.0.2.%d:7003", number)
	return operator.NodeFacts{Record: record, Age: time.Duration(index) * ageStep}
}

// Silence makes a node silent.
func (f *Fleet) Silence(id model.NodeID) {
	f.change(id, func(node *operator.NodeFacts) {
		node.Silent = true
		node.Age = silentAge
	})
}

// Hold keeps a node at its present configuration.
func (f *Fleet) Hold(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[id] = true
}

// ReleaseNode ends Hold, and the node takes the newest configuration.
func (f *Fleet) ReleaseNode(id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, id)
	f.spread()
}

// HoldFor keeps a node at its present configuration until the given number of snapshots was taken.
func (f *Fleet) HoldFor(id model.NodeID, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[id] = true
	f.snapshotsHeld = snapshots
}

// countSnapshot ends HoldFor when its snapshots were taken.
func (f *Fleet) countSnapshot() {
	if f.snapshotsHeld == 0 {
		return
	}
	f.snapshotsHeld--
	if f.snapshotsHeld == 0 {
		clear(f.held)
		f.spread()
	}
}

// Suspect makes the target beside a node suspect and ejects it.
func (f *Fleet) Suspect(id model.NodeID) {
	f.change(id, func(node *operator.NodeFacts) {
		target := &node.Record.Targets[0]
		target.Suspected = true
		f.ejections = append(f.ejections, operator.Ejection{
			Target: target.ID, Service: target.Service, Fleetwide: true, Cause: "failure rate", Since: time.Second,
			Remaining: time.Minute,
		})
	})
}

// Incomplete makes the node's configuration incomplete.
func (f *Fleet) Incomplete() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incomplete = true
}

func (f *Fleet) change(id model.NodeID, edit func(*operator.NodeFacts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i].Record.ID == id {
			edit(&f.nodes[i])
		}
	}
}
