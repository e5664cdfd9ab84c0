package fakefleet

import (
	"context"
	"slices"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/store"
)

// ReadAccounts implements operator.Fleet.
func (f *Fleet) ReadAccounts(_ context.Context, group int) (operator.StoredAccounts, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored := f.accounts[group]
	stored.Group.Accounts = slices.Clone(stored.Group.Accounts)
	return stored, nil
}

// SwapAccounts implements operator.Fleet.
func (f *Fleet) SwapAccounts(_ context.Context, group int, expect int64, accounts *declaration.AccountGroup) (int64, error) {
	var revision int64
	err := f.write(func() error {
		stored, exists := f.accounts[group]
		if stored.Revision != expect {
			return accountConflict(group, stored, exists)
		}
		if f.writeError != nil {
			return f.writeError
		}
		decoded, err := reencoded(accounts)
		if err != nil {
			return err
		}
		revision = f.storeAccounts(group, decoded)
		return nil
	})
	return revision, err
}

// reencoded returns the accounts as a store holds them.
func reencoded(accounts *declaration.AccountGroup) (*declaration.AccountGroup, error) {
	data, err := accounts.Encode()
	if err != nil {
		return nil, err
	}
	return declaration.DecodeAccountGroup(data)
}

func accountConflict(group int, stored operator.StoredAccounts, exists bool) error {
	if !exists {
		return &store.ConflictError{}
	}
	value, err := stored.Group.Encode()
	if err != nil {
		return err
	}
	return &store.ConflictError{Exists: true, Current: store.KV{Key: config.AccountKey(group), Value: value, Revision: stored.Revision}}
}

// PutAccounts stores a group like the write of another operator and returns its revision.
func (f *Fleet) PutAccounts(group int, accounts declaration.AccountGroup) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAccounts(group, &accounts)
}

func (f *Fleet) storeAccounts(group int, accounts *declaration.AccountGroup) int64 {
	f.advanceRevision()
	stored := operator.StoredAccounts{Group: *accounts, Revision: f.revision}
	stored.Group.Accounts = slices.Clone(accounts.Accounts)
	f.accounts[group] = stored
	f.accountHistory = append(f.accountHistory, stored)
	return f.revision
}

// AccountHistory returns every account group that was ever stored, in the order of revisions.
func (f *Fleet) AccountHistory() []operator.StoredAccounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.accountHistory)
}

// FailAccountWrites makes all writes of accounts fail with the error.
func (f *Fleet) FailAccountWrites(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeError = err
}

// HideAccounts makes snapshots show the accounts as they are now until ShowAccounts, like a node that is behind.
func (f *Fleet) HideAccounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shownAccounts = f.activeAccounts()
}

// ShowAccounts ends HideAccounts.
func (f *Fleet) ShowAccounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shownAccounts = nil
}

func (f *Fleet) activeAccounts() map[model.AccountName]*declaration.Account {
	if f.shownAccounts != nil {
		return f.shownAccounts
	}
	active := make(map[model.AccountName]*declaration.Account)
	for _, stored := range f.accounts {
		for i := range stored.Group.Accounts {
			active[stored.Group.Accounts[i].Name] = &stored.Group.Accounts[i]
		}
	}
	return active
}
