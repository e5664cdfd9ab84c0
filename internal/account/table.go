// Package account holds the client accounts of the configuration, and finds the account of an API key. It is pure.
package account

import (
	"iter"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Table is the immutable set of client accounts. Tables of successive configurations share what did not change.
type Table struct {
	groups [declaration.AccountGroups]*Group
	index  *index
	// isPartial means that accounts may be missing.
	isPartial bool
	// hasUnknownKeys means that an account of a group may have keys that are not known.
	hasUnknownKeys bool
}

// NewTable returns the table of all accounts there are.
func NewTable(accounts map[model.AccountName]*declaration.Account) *Table {
	var members [declaration.AccountGroups][]declaration.Account
	for _, account := range accounts {
		group := declaration.GroupOf(account.Name)
		members[group] = append(members[group], *account)
	}
	groups := map[int]*Group{}
	for number, group := range members {
		groups[number] = NewGroup(group, nil)
	}
	return (*Table)(nil).Replaced(groups, false)
}

// Replaced returns the table with other groups, by their numbers (declaration.GroupOf); a nil group has no accounts. isPartial means
// that accounts may be missing from the new table, so that it cannot tell which keys are unknown. A nil table has no accounts.
func (t *Table) Replaced(groups map[int]*Group, isPartial bool) *Table {
	if t == nil {
		t = &Table{index: new(index)}
	}
	next := *t
	next.isPartial = isPartial
	if len(groups) == 0 {
		return &next
	}
	var removed, added []*declaration.Account
	for number, group := range groups {
		removed = append(removed, t.groups[number].without(group)...)
		added = append(added, group.without(t.groups[number])...)
		next.groups[number] = group
	}
	if len(removed)+len(added) > 0 {
		next.index = t.index.replaced(removed, added)
	}
	next.hasUnknownKeys = next.anyUnknownKeys()
	return &next
}

func (t *Table) anyUnknownKeys() bool {
	for _, group := range t.groups {
		if group != nil && group.hasUnknownKeys {
			return true
		}
	}
	return false
}

// IsDecided reports whether the table has all accounts with all of their keys. If not, a key that it does not have may be valid.
func (t *Table) IsDecided() bool { return t != nil && !t.isPartial && !t.hasUnknownKeys }

// HasLimits reports whether an account has a quota.
func (t *Table) HasLimits() bool {
	if t == nil {
		return false
	}
	for _, group := range t.groups {
		if group != nil && group.hasLimits {
			return true
		}
	}
	return false
}

// IsPartial reports whether accounts may be missing.
func (t *Table) IsPartial() bool { return t == nil || t.isPartial }

// Find returns what the configuration says of an API key. A key of several accounts belongs to none of them. A key of an account that
// this build does not understand is undecided, also if another account has it.
func (t *Table) Find(hash declaration.KeyHash) Finding {
	if t == nil {
		return Finding{Status: Undecided}
	}
	entries := t.index.find(hash)
	for _, e := range entries {
		if e.account.Unsupported != "" {
			return Finding{Status: Undecided}
		}
	}
	switch {
	case len(entries) == 1:
		return Finding{Status: Known, Account: entries[0].account}
	case t.IsDecided():
		return Finding{Status: Unknown}
	}
	return Finding{Status: Undecided}
}

// ByName returns the account with the name, nil if there is none.
func (t *Table) ByName(name model.AccountName) *declaration.Account {
	if t == nil {
		return nil
	}
	return t.groups[declaration.GroupOf(name)].find(name)
}

// All returns the accounts by groups, sorted by name within a group. The caller must not modify them.
func (t *Table) All() iter.Seq[*declaration.Account] {
	return func(yield func(*declaration.Account) bool) {
		if t == nil {
			return
		}
		for _, group := range t.groups {
			for _, account := range group.Accounts() {
				if !yield(account) {
					return
				}
			}
		}
	}
}

// Group returns the group with the number (declaration.GroupOf), nil if there is none.
func (t *Table) Group(number int) *Group {
	if t == nil {
		return nil
	}
	return t.groups[number]
}
