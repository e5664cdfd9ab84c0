package fakestore_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against a lease holder that resumes after a pause and can still write with its lapsed lease.
func TestPausedLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := fakestore.New(fakestore.Options{})
		lease, _ := s.GrantLease(ctx, 10*time.Second)
		created, err := s.CompareAndSwap(ctx, "leader", 0, []byte("first"), lease)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if err := s.KeepAlive(ctx, lease); err != nil {
			t.Fatalf("renewal in time: %v", err)
		}
		time.Sleep(11 * time.Second)
		if _, err := s.CompareAndSwap(ctx, "leader", 0, []byte("second"), 0); err != nil {
			t.Fatalf("the key of the lapsed lease still exists: %v", err)
		}
		if err := s.KeepAlive(ctx, lease); !errors.Is(err, store.ErrLeaseLapsed) {
			t.Errorf("renewal after the lapse: %v", err)
		}
		if _, err := s.CompareAndSwap(ctx, "other", 0, nil, lease); !errors.Is(err, store.ErrLeaseLapsed) {
			t.Errorf("write with the lapsed lease: %v", err)
		}
		var conflict *store.ConflictError
		if _, err := s.CompareAndSwap(ctx, "leader", created.Revision, nil, 0); !errors.As(err, &conflict) {
			t.Errorf("swap at the revision from before the pause: %v", err)
		}
	})
}

// Guards against a watch that misses changes, returns changes outside its prefix or does not report a compaction.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := fakestore.New(fakestore.Options{MaxHistory: 2})
		time.AfterFunc(time.Second, func() { _, _ = s.CompareAndSwap(ctx, "b/1", 0, nil, 0) })
		time.AfterFunc(2*time.Second, func() { _, _ = s.CompareAndSwap(ctx, "a/1", 0, nil, 0) })
		changes, revision, err := s.Watch(ctx, "a/", 0, time.Minute)
		if err != nil || len(changes) != 1 || changes[0].Key != "a/1" || revision != 2 {
			t.Fatalf("watch: %+v at %d, %v", changes, revision, err)
		}
		changes, revision, err = s.Watch(ctx, "a/", revision, time.Minute)
		if err != nil || len(changes) != 0 || revision != 2 {
			t.Fatalf("watch without changes: %+v at %d, %v", changes, revision, err)
		}
		_, _ = s.CompareAndSwap(ctx, "b/2", 0, nil, 0)
		if _, _, err := s.Watch(ctx, "a/", 0, 0); !errors.Is(err, store.ErrCompacted) {
			t.Errorf("watch from a compacted revision: %v", err)
		}
		time.AfterFunc(time.Second, func() { s.SetFaults(fakestore.Faults{Down: true}) })
		if _, _, err := s.Watch(ctx, "a/", 3, time.Minute); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("watch while the store becomes unavailable: %v", err)
		}
	})
}

// Guards against a write that takes effect after its caller timed out, but is reported as refused or applied twice.
func TestResolveLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.Options{})
		s.SetFaults(fakestore.Faults{DelayMS: 2000})
		first, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.CompareAndSwap(first, "a", 0, []byte("x"), 0); !errors.Is(err, store.ErrUnknownOutcome) {
			t.Fatalf("write that timed out: %v", err)
		}
		s.SetFaults(fakestore.Faults{LoseAnswers: 2})
		isOwn := func(value []byte) bool { return bytes.Equal(value, []byte("x")) }
		kv, err := store.SwapAndResolve(t.Context(), s, "a", 0, []byte("x"), 0, isOwn)
		if err != nil || kv.Revision != 1 {
			t.Fatalf("resolved: %+v, %v", kv, err)
		}
		time.Sleep(time.Minute)
		if s.Revision() != 1 {
			t.Errorf("the change took effect %d times", s.Revision())
		}
	})
}

// Guards against a conflict with another caller's change that is mistaken for the caller's own change.
func TestResolveForeignChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.Options{})
		_, _ = s.CompareAndSwap(t.Context(), "a", 0, []byte("theirs"), 0)
		s.SetFaults(fakestore.Faults{LoseAnswers: 1})
		isOwn := func(value []byte) bool { return bytes.Equal(value, []byte("mine")) }
		var conflict *store.ConflictError
		if _, err := store.SwapAndResolve(t.Context(), s, "a", 0, []byte("mine"), 0, isOwn); !errors.As(err, &conflict) {
			t.Errorf("resolved: %v", err)
		}
	})
}
