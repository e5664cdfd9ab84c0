package eject

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Renew returns the document with the next generation of the holder's entry. It fails with ErrNoEntry if the entry was
// garbage-collected or belongs to another holder, and with ErrWithdrawn if it was withdrawn. A retiring entry becomes
// active again; this is safe because it still occupies its share of the capacity floor.
func Renew(doc Document, request PermitRequest) (Document, error) {
	i := doc.index(request.Target)
	if i < 0 || !request.owns(doc.Entries[i]) {
		return doc, ErrNoEntry
	}
	if doc.Entries[i].Withdrawn {
		return doc, ErrWithdrawn
	}
	changed := doc.next()
	changed.Entries[i].Renewals++
	changed.Entries[i].Retiring = false
	return changed, nil
}

// Withdraw returns the document with the target's entry marked as withdrawn and retiring, so that nodes stop enforcing
// it as soon as they receive the document. It is used by operators and by the holder. The entry occupies its share of
// the capacity floor until it is garbage-collected.
func Withdraw(doc Document, target model.TargetID) (Document, error) {
	i := doc.index(target)
	if i < 0 {
		return doc, ErrNoEntry
	}
	if doc.Entries[i].Withdrawn {
		return doc, ErrWithdrawn
	}
	changed := doc.next()
	changed.Entries[i].Retiring = true
	changed.Entries[i].Withdrawn = true
	return changed, nil
}

// collectGarbage returns the document without the retiring entries that are due, and with the other due entries marked
// as retiring.
func collectGarbage(doc Document, isDue func(generation) bool) (Document, error) {
	changed := doc.next()
	changed.Entries = slices.DeleteFunc(changed.Entries, func(e Entry) bool { return e.Retiring && isDue(e.generation()) })
	altered := len(changed.Entries) != len(doc.Entries)
	for i := range changed.Entries {
		entry := &changed.Entries[i]
		if !entry.Retiring && isDue(entry.generation()) {
			entry.Retiring = true
			altered = true
		}
	}
	if !altered {
		return doc, ErrUnchanged
	}
	return changed, nil
}
