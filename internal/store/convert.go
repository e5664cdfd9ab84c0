package store

import "github.com/sardinereach/sardinereach/api/storev1"

func kvOf(kv *storev1.KeyValue) KV {
	return KV{Key: kv.GetKey(), Value: kv.GetValue(), Revision: kv.GetModRevision(), Lease: LeaseID(kv.GetLeaseId())}
}

func conflictOf(kv *storev1.KeyValue) *ConflictError {
	if kv == nil {
		return &ConflictError{}
	}
	return &ConflictError{Current: kvOf(kv), Exists: true}
}

func changesOf(messages []*storev1.Change) []Change {
	changes := make([]Change, 0, len(messages))
	for _, message := range messages {
		changes = append(changes, changeOf(message))
	}
	return changes
}

func changeOf(message *storev1.Change) Change {
	if message.Kv == nil {
		return Change{KV: KV{Key: message.Key, Revision: message.Revision}, Deleted: true}
	}
	return Change{KV: kvOf(message.Kv)}
}
