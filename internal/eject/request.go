package eject

import (
	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Request returns the document with an entry for the asked target. It fails with *FloorError or *ShareError if the
// ejection is not allowed, and with ErrExists or ErrWithdrawn if the target has an entry. Every entry takes its share
// of the floor until it is collected, whether or not it is honoured. The targets are those of the whole service, as the
// asking node sees them; entries of the document are added to their reasons.
func Request(doc Document, targets []capacity.Target, floorSlots int, ask Ask) (Document, error) {
	if entry, ok := doc.Find(ask.Target); ok {
		return doc, existing(entry)
	}
	if err := allow(doc, targets, floorSlots, ask.Target); err != nil {
		return doc, err
	}
	changed := doc.next()
	changed.Entries = append(changed.Entries, Entry{
		Target:      ask.Target,
		Holder:      ask.Holder,
		Incarnation: ask.Incarnation,
		Serial:      changed.Sequence,
		Reason:      ask.Reason,
	})
	return changed, nil
}

// existing returns the error for a target that has an entry.
func existing(entry Entry) error {
	if entry.Withdrawn {
		return ErrWithdrawn
	}
	return ErrExists
}

// allow checks the share and the floor.
func allow(doc Document, targets []capacity.Target, floorSlots int, target model.TargetID) error {
	marked := doc.Mark(targets)
	if err := checkShare(marked, target); err != nil {
		return err
	}
	removal := capacity.MayRemove(marked, floorSlots, target)
	if !removal.Allowed || removal.AfterSlots == 0 {
		return &FloorError{Removal: removal}
	}
	return nil
}

// Mark returns the targets with the reason Ejected added for each entry, honoured or not.
func (d Document) Mark(targets []capacity.Target) []capacity.Target {
	marked := make([]capacity.Target, len(targets))
	for i, target := range targets {
		if d.index(target.ID) >= 0 {
			target.Reasons |= capacity.Ejected
		}
		marked[i] = target
	}
	return marked
}

// Limit returns the greatest number of targets of a service that may be ejected at a time.
func Limit(targets int) int { return max(1, int(maxShare*float64(targets))) }

// checkShare bounds the share of targets that are ejected, with one more.
func checkShare(marked []capacity.Target, target model.TargetID) error {
	ejected := 0
	for _, t := range marked {
		if t.Reasons.Has(capacity.Ejected) {
			ejected++
		}
	}
	limit := Limit(len(marked))
	if ejected < limit {
		return nil
	}
	return &ShareError{Target: target, Ejected: ejected, Limit: limit, Targets: len(marked)}
}
