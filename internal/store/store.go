// Package store contains the interface to the platform's key-value service, and a client for it.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// KV is a key and its value at one revision.
type KV struct {
	Key   string
	Value []byte
	// Revision is the position of the key's last change, see the function Revision.
	Revision int64
	Lease    LeaseID
}

// Change is one change that a watch reports.
type Change struct {
	KV
	// Deleted means that the key was deleted at Revision. A key that ends in "/" stands for all deletions under it, see
	// config.Document.
	Deleted bool
}

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable means that the store did not execute a write, or did not respond to a read. Nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that the response to a write was lost, so the write may have taken effect. The caller must
	// read the key to resolve the outcome.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrCompacted means that the store no longer retains all changes after the given revision. The caller must list again.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrLeaseLapsed means that the lease has expired or was revoked.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
)

// ConflictError means that the key did not have the expected revision. Nothing changed.
type ConflictError struct {
	// Current is the current state of the key. It is empty if Exists is false, which means that the key does not exist.
	Current KV
	Exists  bool
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if !e.Exists {
		return "store: conflict: the key does not exist"
	}
	return fmt.Sprintf("store: conflict: key %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// Store is the platform's key-value service. Every mutation takes the next revision from one counter for all keys. A store
// may be restored from an older copy: later changes and all leases are gone then, and a new era begins. All revisions of this
// interface are positions, which are ordered by era first. An expected revision of an earlier era conflicts, and a watch after
// one is compacted.
// Methods are safe for concurrent use. Every call counts towards the store's rate limits. A Watch counts as one call,
// however long it waits.
type Store interface {
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns the keys with the prefix in order, and the store revision of the list.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// CompareAndSwap sets the key if it is at revision expect. Otherwise it returns a *ConflictError. An expect of 0 means
	// that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (KV, error)
	// CompareAndDelete deletes the key if it is at revision expect. Otherwise it returns a *ConflictError.
	CompareAndDelete(ctx context.Context, key string, expect int64) error
	// GrantLease returns a lease that expires after ttl without KeepAlive. The keys bound to it are deleted then.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease, or returns ErrLeaseLapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch waits up to wait for changes of keys with the prefix after the given revision. It returns the changes and the
	// revision up to which they are complete. It returns no changes if there were none within wait, and ErrCompacted if
	// the store no longer retains all of them.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
	// Ping returns nil if the store answers a read of the key, which need not exist. The read is as cheap as the store
	// allows and may be answered from outdated data.
	Ping(ctx context.Context, key string) error
}
