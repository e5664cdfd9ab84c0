package fakestore

import (
	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/store"
)

func kvMessage(kv store.KV) *storev1.KeyValue {
	return &storev1.KeyValue{Key: kv.Key, Value: kv.Value, ModRevision: kv.Revision, LeaseId: int64(kv.Lease)}
}

func conflictMessage(conflict *store.ConflictError) *storev1.KeyValue {
	if !conflict.Exists {
		return nil
	}
	return kvMessage(conflict.Current)
}

func changeMessage(change store.Change) *storev1.Change {
	if change.Deleted {
		return &storev1.Change{Key: change.Key, Revision: change.Revision}
	}
	return &storev1.Change{Key: change.Key, Kv: kvMessage(change.KV), Revision: change.Revision}
}
