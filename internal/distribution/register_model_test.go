package distribution_test

import (
	"slices"

	"github.com/anishathalye/porcupine"
)

// registerInput is one operation on the configuration register of the fleet.
type registerInput struct {
	kind registerKind
	// change and parent are the IDs of a written change and of the change that it was derived from. The initial change
	// has ID 0.
	change, parent int
	// node is the index of the node that reads.
	node int
}

type registerKind uint8

const (
	// writeChange derives a change from its parent by compare-and-swap.
	writeChange registerKind = iota
	// readNode reads the active change of a node.
	readNode
	// startNode starts a node, waits until it is ready, and reads its active change.
	startNode
)

// registerOutput reports whether a write was accepted, or contains the change that was read.
type registerOutput struct {
	accepted bool
	change   int
}

// registerState contains the accepted changes in order and, for each node, the position of the newest change that was
// active there.
type registerState struct {
	changes  []int
	observed []int
}

// registerModel accepts a history if the changes form a single chain, nodes read only accepted changes, no node returns
// to an older change, and a starting node has no older change than any other node had before.
func registerModel(nodes int) porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return registerState{changes: []int{0}, observed: make([]int, nodes)} },
		Step:  func(state, input, output any) (bool, any) { return step(state, input, output) },
		Equal: func(a, b any) bool { return equalStates(a.(registerState), b.(registerState)) },
	}
}

func step(state, input, output any) (bool, any) {
	s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
	if in.kind == writeChange {
		return s.write(in, out)
	}
	position := slices.Index(s.changes, out.change)
	oldest := s.observed[in.node]
	if in.kind == startNode {
		oldest = slices.Max(s.observed)
	}
	if position < oldest {
		return false, s
	}
	next := registerState{changes: s.changes, observed: slices.Clone(s.observed)}
	next.observed[in.node] = position
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
	return true, registerState{changes: append(slices.Clone(s.changes), in.change), observed: s.observed}
}

func equalStates(a, b registerState) bool {
	return slices.Equal(a.changes, b.changes) && slices.Equal(a.observed, b.observed)
}
