package operator

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// documentPrefix is the prefix of the store keys of service documents.
const documentPrefix = "config/services/"

// Documents reads and writes service documents in the platform store. Implementations of Fleet can embed it.
type Documents struct {
	Store store.Store
}

// ReadService implements Fleet.
func (d Documents) ReadService(ctx context.Context, name model.ServiceName) (StoredService, error) {
	kv, err := d.Store.Get(ctx, documentKey(name))
	if err != nil {
		return StoredService{}, err
	}
	document, err := declaration.DecodeDocument(kv.Value)
	if err != nil {
		return StoredService{}, errors.Wrapf(err, "key %s at revision %d", kv.Key, kv.Revision)
	}
	return StoredService{Document: *document, Revision: kv.Revision}, nil
}

// SwapService implements Fleet.
func (d Documents) SwapService(ctx context.Context, expect int64, document *declaration.Document) (int64, error) {
	value, err := declaration.EncodeDocument(document)
	if err != nil {
		return 0, err
	}
	kv, err := d.Store.CompareAndSwap(ctx, documentKey(document.Name), expect, value, 0)
	if err != nil {
		return 0, err
	}
	return kv.Revision, nil
}

// RemoveService implements Fleet.
func (d Documents) RemoveService(ctx context.Context, name model.ServiceName, expect int64) error {
	return d.Store.CompareAndDelete(ctx, documentKey(name), expect)
}

func documentKey(name model.ServiceName) string { return documentPrefix + string(name) }
