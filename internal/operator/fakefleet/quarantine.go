package fakefleet

import (
	"context"
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Forbid implements operator.Fleet.
func (f *Fleet) Forbid(_ context.Context, fingerprint string) error {
	return f.write(func() error {
		if f.quarantineIndex(fingerprint) < 0 {
			f.quarantine = append(f.quarantine, operator.QuarantineEntry{Fingerprint: fingerprint, State: "forbidden"})
		}
		return nil
	})
}

// Release implements operator.Fleet.
func (f *Fleet) Release(_ context.Context, fingerprint string) error {
	return f.write(func() error {
		index := f.quarantineIndex(fingerprint)
		if index < 0 {
			return store.ErrNotFound
		}
		f.quarantine = slices.Delete(f.quarantine, index, index+1)
		return nil
	})
}

func (f *Fleet) quarantineIndex(fingerprint string) int {
	return slices.IndexFunc(f.quarantine, func(e operator.QuarantineEntry) bool { return e.Fingerprint == fingerprint })
}

// WithdrawEjection implements operator.Fleet.
func (f *Fleet) WithdrawEjection(_ context.Context, target model.TargetID) error {
	return f.write(func() error {
		index := slices.IndexFunc(f.ejections, func(e operator.Ejection) bool { return e.Target == target })
		if index < 0 {
			return store.ErrNotFound
		}
		f.ejections = slices.Delete(f.ejections, index, index+1)
		return nil
	})
}
