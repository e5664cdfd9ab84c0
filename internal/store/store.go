// Package store is the fleet's view of the platform's key-value service.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// LeaseID names a lease, 0 means none.
type LeaseID int64

// KV is a key with its value at one revision.
type KV struct {
	Key   string
	Value []byte
	// Revision is the store revision of the key's last change.
	Revision int64
	Lease    LeaseID
}

// Change is one change that a watch reports.
type Change struct {
	KV
	// Deleted means that the key was deleted at Revision.
	Deleted bool
}

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable means that the store did not take the call, so that nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that the answer was lost; a write may have taken effect. Settle it by reading back.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrCompacted means that the changes after the given revision are no longer held. List again.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrLeaseLapsed means that the lease does not exist any more.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
)

// ConflictError means that the key did not have the expected revision. Nothing changed.
type ConflictError struct {
	// Current is the key as it is, Exists is false if it does not exist.
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

// Store is the platform's key-value service. Every mutation takes the next revision of one counter for all keys.
// Methods are safe for concurrent use. Every call counts against the store's rates, a waiting watch as one.
type Store interface {
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns the keys with the prefix in order, and the store revision at which the list is complete.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// CompareAndSwap sets the key if it is at revision expect, 0 if it must not exist. Otherwise it returns a
	// *ConflictError.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (KV, error)
	// CompareAndDelete deletes the key if it is at revision expect. Otherwise it returns a *ConflictError.
	CompareAndDelete(ctx context.Context, key string, expect int64) error
	// GrantLease returns a lease that lapses after ttl without KeepAlive. Keys bound to it are deleted then.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease, or returns ErrLeaseLapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch waits up to wait for changes under prefix after the revision, and returns them with the revision up to
	// which they are complete. It returns no changes when the time is over, and ErrCompacted if changes are missing.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
}
