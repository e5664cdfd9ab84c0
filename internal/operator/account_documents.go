package operator

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/store"
)

// ReadAccounts implements Fleet.
func (d Documents) ReadAccounts(ctx context.Context, group int) (StoredAccounts, error) {
	kv, err := d.Store.Get(ctx, config.AccountKey(group))
	if errors.Is(err, store.ErrNotFound) {
		return StoredAccounts{}, nil
	}
	if err != nil {
		return StoredAccounts{}, err
	}
	accounts, err := declaration.DecodeAccountGroup(kv.Value)
	if err != nil {
		return StoredAccounts{}, errors.Wrapf(err, "key %s at revision %d", kv.Key, kv.Revision)
	}
	return StoredAccounts{Group: *accounts, Revision: kv.Revision}, nil
}

// SwapAccounts implements Fleet.
func (d Documents) SwapAccounts(ctx context.Context, group int, expect int64, accounts *declaration.AccountGroup) (int64, error) {
	value, err := accounts.Encode()
	if err != nil {
		return 0, err
	}
	kv, err := d.Store.CompareAndSwap(ctx, config.AccountKey(group), expect, value, 0)
	if err != nil {
		return 0, err
	}
	return kv.Revision, nil
}
