package operator_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/store"
)

// oneKeyStore is a store with a single key. It implements only the methods that Documents calls.
type oneKeyStore struct {
	store.Store
	kv store.KV
}

func (s *oneKeyStore) Get(_ context.Context, key string) (store.KV, error) {
	if s.kv.Revision == 0 || key != s.kv.Key {
		return store.KV{}, store.ErrNotFound
	}
	return s.kv, nil
}

func (s *oneKeyStore) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.KV, error) {
	if expect != s.kv.Revision || lease != 0 {
		return store.KV{}, &store.ConflictError{Current: s.kv, Exists: s.kv.Revision != 0}
	}
	s.kv = store.KV{Key: key, Value: value, Revision: expect + 1}
	return s.kv, nil
}

func (s *oneKeyStore) CompareAndDelete(_ context.Context, key string, expect int64) error {
	if key != s.kv.Key || expect != s.kv.Revision {
		return &store.ConflictError{Current: s.kv, Exists: true}
	}
	s.kv = store.KV{}
	return nil
}

// Guards against a key that the nodes do not watch, against a missing change ID, and against errors that the resolution
// of unknown outcomes would not recognize.
func TestDocuments(t *testing.T) {
	ctx := context.Background()
	backing := new(oneKeyStore)
	documents := operator.Documents{Store: backing}
	if _, err := documents.ReadService(ctx, "proofroom"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("absent document: %v", err)
	}
	wanted := document(t, proofroom)
	revision, err := documents.SwapService(ctx, 0, &wanted)
	if err != nil || revision != 1 || backing.kv.Key != "config/services/proofroom" {
		t.Fatalf("revision %d, key %q, %v", revision, backing.kv.Key, err)
	}
	stored, err := documents.ReadService(ctx, "proofroom")
	if err != nil || stored.Revision != 1 || stored.Document.ChangeID != "other.1.1" {
		t.Errorf("stored %+v, %v", stored, err)
	}
	var conflict *store.ConflictError
	if _, err := documents.SwapService(ctx, 0, &wanted); !errors.As(err, &conflict) {
		t.Errorf("second creation: %v", err)
	}
	if err := documents.RemoveService(ctx, "proofroom", 1); err != nil {
		t.Error(err)
	}
	wanted.Name = "Not valid"
	if _, err := documents.SwapService(ctx, 0, &wanted); err == nil || backing.kv.Revision != 0 {
		t.Errorf("an invalid document is written: %v", err)
	}
}
