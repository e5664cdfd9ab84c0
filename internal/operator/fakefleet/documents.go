package fakefleet

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/store"
)

// ReadService implements operator.Fleet.
func (f *Fleet) ReadService(_ context.Context, name model.ServiceName) (operator.StoredService, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored, ok := f.documents[name]
	if !ok {
		return operator.StoredService{}, store.ErrNotFound
	}
	return stored, nil
}

// SwapService implements operator.Fleet.
func (f *Fleet) SwapService(_ context.Context, expect int64, document *declaration.Document) (int64, error) {
	var revision int64
	err := f.write(func() error {
		if err := f.checkRevision(document.Name, expect); err != nil {
			return err
		}
		revision = f.store(document)
		return nil
	})
	return revision, err
}

// RemoveService implements operator.Fleet.
func (f *Fleet) RemoveService(_ context.Context, name model.ServiceName, expect int64) error {
	return f.write(func() error {
		if err := f.checkRevision(name, expect); err != nil {
			return err
		}
		delete(f.documents, name)
		f.advanceRevision()
		return nil
	})
}

func (f *Fleet) checkRevision(name model.ServiceName, expect int64) error {
	stored, ok := f.documents[name]
	if stored.Revision == expect {
		return nil
	}
	if !ok {
		return &store.ConflictError{}
	}
	value, err := declaration.EncodeDocument(&stored.Document)
	if err != nil {
		return err
	}
	return &store.ConflictError{Exists: true, Current: store.KV{Value: value, Revision: stored.Revision}}
}
