package eject

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Renew returns the document with the next generation of the holder's entry. It fails with ErrNoEntry if the entry was
// collected or belongs to another holder, and with ErrWithdrawn if it was withdrawn. An entry that is retiring becomes
// active again, because it has kept its share of the floor.
func Renew(doc Document, ask Ask) (Document, error) {
	i := doc.index(ask.Target)
	if i < 0 || !ask.holds(doc.Entries[i]) {
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

// Withdraw returns the document with the entry of the target retiring, so that nodes stop honouring it as soon as they
// see the document. Operators and the holder call it. The entry keeps its share of the floor until it is collected.
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

// collect returns the document with the entries of the due generations retired or removed.
func collect(doc Document, due func(generation) bool) (Document, error) {
	changed := doc.next()
	changed.Entries = slices.DeleteFunc(changed.Entries, func(e Entry) bool { return e.Retiring && due(e.generation()) })
	altered := len(changed.Entries) != len(doc.Entries)
	for i := range changed.Entries {
		entry := &changed.Entries[i]
		if !entry.Retiring && due(entry.generation()) {
			entry.Retiring = true
			altered = true
		}
	}
	if !altered {
		return doc, ErrUnchanged
	}
	return changed, nil
}
