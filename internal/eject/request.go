package eject

import (
	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Request returns the document with an entry for the requested target. It fails with *FloorError or *ShareError if the
// ejection is not allowed, and with ErrExists or ErrWithdrawn if the target has an entry. Every entry occupies its
// share of the capacity floor until it is garbage-collected, even if it is retiring or has expired. The targets must be
// all targets of the service in the requesting node's view. Request adds capacity.Ejected to the reasons of those that
// have an entry.
func Request(doc Document, targets []capacity.Target, floorSlots int, request PermitRequest) (Document, error) {
	if entry, ok := doc.Find(request.Target); ok {
		return doc, existingEntryError(entry)
	}
	if err := checkAllowed(doc, targets, floorSlots, request.Target); err != nil {
		return doc, err
	}
	changed := doc.next()
	changed.Entries = append(changed.Entries, Entry{
		Target:      request.Target,
		Holder:      request.Holder,
		Incarnation: request.Incarnation,
		Serial:      changed.Sequence,
		Reason:      request.Reason,
	})
	return changed, nil
}

// existingEntryError returns the error for a target that has an entry.
func existingEntryError(entry Entry) error {
	if entry.Withdrawn {
		return ErrWithdrawn
	}
	return ErrExists
}

// checkAllowed checks the ejection against the maximum share and the capacity floor.
func checkAllowed(doc Document, targets []capacity.Target, floorSlots int, target model.TargetID) error {
	marked := doc.MarkEjected(targets)
	if err := checkShare(marked, target); err != nil {
		return err
	}
	removal := capacity.MayRemove(marked, floorSlots, target)
	if !removal.Allowed || removal.AfterSlots == 0 {
		return &FloorError{Removal: removal}
	}
	return nil
}

// MarkEjected returns a copy of the targets with the reason Ejected added to each one that has an entry, whether the
// entry is active or not.
func (d Document) MarkEjected(targets []capacity.Target) []capacity.Target {
	marked := make([]capacity.Target, len(targets))
	for i, target := range targets {
		if d.index(target.ID) >= 0 {
			target.Reasons |= capacity.Ejected
		}
		marked[i] = target
	}
	return marked
}

// MaxEjected returns the maximum number of ejected targets for a service with the given number of targets.
func MaxEjected(targets int) int { return max(1, int(maxShare*float64(targets))) }

// checkShare returns a *ShareError if one more ejected target would exceed the maximum.
func checkShare(marked []capacity.Target, target model.TargetID) error {
	ejected := 0
	for _, t := range marked {
		if t.Reasons.Has(capacity.Ejected) {
			ejected++
		}
	}
	limit := MaxEjected(len(marked))
	if ejected < limit {
		return nil
	}
	return &ShareError{Target: target, Ejected: ejected, Limit: limit, Targets: len(marked)}
}
