package distribution_test

import (
	"slices"

	"github.com/anishathalye/porcupine"
)

// registerInput is one operation on the configuration register of the fleet.
type registerInput struct {
	kind registerKind
	// change and parent are the IDs of a written change and of the one that it was derived from; 0 is the first.
	change, parent int
	// node is the index of the node that reads.
	node int
}

type registerKind uint8

const (
	// writeChange derives a change from its parent by compare-and-swap.
	writeChange registerKind = iota
	// readNode reads the change in force at a node.
	readNode
	// startNode is the start of a node up to readiness, with the change in force then.
	startNode
)

// registerOutput is whether a write was accepted, or the change that was read.
type registerOutput struct {
	accepted bool
	change   int
}

// registerState is the accepted changes in order, and the place of the newest one that each node had in force.
type registerState struct {
	changes []int
	seen    []int
}

// registerModel accepts a history if the changes form one chain, a node only reads accepted changes, no node goes back,
// and a node that starts has no older change than any other node had before.
func registerModel(nodes int) porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return registerState{changes: []int{0}, seen: make([]int, nodes)} },
		Step:  func(state, input, output any) (bool, any) { return step(state, input, output) },
		Equal: func(a, b any) bool { return equalStates(a.(registerState), b.(registerState)) },
	}
}

func step(state, input, output any) (bool, any) {
	s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
	if in.kind == writeChange {
		return s.write(in, out)
	}
	place := slices.Index(s.changes, out.change)
	oldest := s.seen[in.node]
	if in.kind == startNode {
		oldest = slices.Max(s.seen)
	}
	if place < oldest {
		return false, s
	}
	next := registerState{changes: s.changes, seen: slices.Clone(s.seen)}
	next.seen[in.node] = place
	return true, next
}

func (s registerState) write(in registerInput, out registerOutput) (bool, any) {
	current := s.changes[len(s.changes)-1] == in.parent
	if current != out.accepted {
		return false, s
	}
	if !out.accepted {
		return true, s
	}
	return true, registerState{changes: append(slices.Clone(s.changes), in.change), seen: s.seen}
}

func equalStates(a, b registerState) bool {
	return slices.Equal(a.changes, b.changes) && slices.Equal(a.seen, b.seen)
}
