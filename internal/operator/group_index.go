package operator

import (
	"slices"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// groupIndex is the accounts of a group while they are changed.
type groupIndex struct {
	accounts map[model.AccountName]*declaration.Account
	// holders has the account of each key.
	holders map[declaration.KeyHash]model.AccountName
}

func newGroupIndex(group *declaration.AccountGroup) *groupIndex {
	index := &groupIndex{
		accounts: make(map[model.AccountName]*declaration.Account, len(group.Accounts)),
		holders:  make(map[declaration.KeyHash]model.AccountName),
	}
	for i := range group.Accounts {
		index.put(&group.Accounts[i])
	}
	return index
}

func (x *groupIndex) put(account *declaration.Account) {
	x.accounts[account.Name] = account
	for _, hash := range account.KeyHashes {
		x.holders[hash] = account.Name
	}
}

// replace puts the account after an edit in place of the one before.
func (x *groupIndex) replace(e *accountEdit) {
	if e.before != nil {
		for _, hash := range e.before.KeyHashes {
			delete(x.holders, hash)
		}
		delete(x.accounts, e.name)
	}
	if e.after != nil {
		x.put(e.after)
	}
}

// document returns the stored form of the accounts.
func (x *groupIndex) document(changeID string) *declaration.AccountGroup {
	group := &declaration.AccountGroup{Accounts: make([]declaration.Account, 0, len(x.accounts)), ChangeID: changeID}
	for _, account := range x.accounts {
		group.Accounts = append(group.Accounts, *account)
	}
	slices.SortFunc(group.Accounts, func(a, b declaration.Account) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return group
}
