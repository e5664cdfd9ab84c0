package eject

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/model"
)

// register is an in-memory document with compare-and-swap.
type register struct {
	doc      Document
	revision int64
}

func (r *register) swap(expect int64, doc Document) bool {
	if expect != r.revision {
		return false
	}
	r.doc, r.revision = doc, r.revision+1
	return true
}

func service(n int) []capacity.Target {
	targets := make([]capacity.Target, n)
	for i := range targets {
		targets[i] = capacity.Target{ID: name(i), Slots: 7, RampSlots: 7}
	}
	return targets
}

func name(i int) model.TargetID { return model.TargetID(fmt.Sprintf("t%d", i)) }

func permitRequest(i int) PermitRequest {
	return PermitRequest{Target: name(i), Holder: model.NodeID(fmt.Sprintf("n%d", i)), Incarnation: 1}
}

// check returns an error if the entries of a document exceed what the floor or the maximum share allows.
func check(doc Document, targets []capacity.Target, floor int) error {
	slots, ejected := 0, 0
	for _, target := range doc.MarkEjected(targets) {
		if target.Reasons != 0 {
			ejected++
			continue
		}
		slots += target.Slots
	}
	if slots < floor || ejected > MaxEjected(len(targets)) {
		return fmt.Errorf("%d targets ejected, %d slots left, floor %d", ejected, slots, floor)
	}
	return nil
}
