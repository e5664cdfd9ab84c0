package operator

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// keyHolders finds the accounts that have certain keys. It knows the accounts that are active on the node, and confirms them in the
// store, because a key may have been withdrawn since.
type keyHolders struct {
	fleet Fleet
	// active are the accounts with each key that are active on the node.
	active map[declaration.KeyHash][]model.AccountName
	// stored are the groups that were read from the store.
	stored map[int]*declaration.AccountGroup
}

// newKeyHolders looks up all hashes in one pass, because a large fleet has hundreds of thousands of accounts.
func newKeyHolders(fleet Fleet, hashes []declaration.KeyHash) *keyHolders {
	holders := &keyHolders{fleet: fleet, active: make(map[declaration.KeyHash][]model.AccountName), stored: make(map[int]*declaration.AccountGroup)}
	for _, hash := range hashes {
		holders.active[hash] = nil
	}
	for account := range fleet.Snapshot().eachAccount() {
		for _, hash := range account.KeyHashes {
			if names, ok := holders.active[hash]; ok {
				holders.active[hash] = append(names, account.Name)
			}
		}
	}
	return holders
}

// outside returns the account of another group that has the key, empty if there is none.
func (h *keyHolders) outside(ctx context.Context, group int, hash declaration.KeyHash) (model.AccountName, error) {
	for _, name := range h.active[hash] {
		other := declaration.GroupOf(name)
		if other == group {
			continue
		}
		accounts, err := h.read(ctx, other)
		if err != nil {
			return "", err
		}
		if holder := newGroupIndex(accounts).holders[hash]; holder != "" {
			return holder, nil
		}
	}
	return "", nil
}

func (h *keyHolders) read(ctx context.Context, group int) (*declaration.AccountGroup, error) {
	if accounts := h.stored[group]; accounts != nil {
		return accounts, nil
	}
	stored, err := h.fleet.ReadAccounts(ctx, group)
	if err != nil {
		return nil, err
	}
	h.stored[group] = &stored.Group
	return &stored.Group, nil
}
