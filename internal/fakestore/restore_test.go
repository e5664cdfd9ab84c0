package fakestore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against a restore that keeps lost writes, leases or history, or that does not give revisions out again.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := fakestore.New(fakestore.Options{})
		kept, _ := s.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
		from := s.Copy()
		lost, _ := s.CompareAndSwap(ctx, "a", kept.Revision, []byte("2"), 0)
		_, _ = s.CompareAndSwap(ctx, "config/b", 0, []byte("operator"), 0)
		lease, _ := s.GrantLease(ctx, time.Hour)
		time.AfterFunc(time.Second, func() { s.Restore(from, "config/") })
		if _, _, err := s.Watch(ctx, "a", s.Revision(), time.Minute); !errors.Is(err, store.ErrCompacted) {
			t.Errorf("watch over the restore: %v", err)
		}
		if kv, err := s.Get(ctx, "a"); err != nil || string(kv.Value) != "1" || kv.Revision != store.Revision(1, kept.Revision) {
			t.Errorf("after the restore: %+v, %v", kv, err)
		}
		if kv, err := s.Get(ctx, "config/b"); err != nil || string(kv.Value) != "operator" {
			t.Errorf("key that is written again: %+v, %v", kv, err)
		}
		var conflict *store.ConflictError
		if _, err := s.CompareAndSwap(ctx, "a", lost.Revision, nil, 0); !errors.As(err, &conflict) || string(conflict.Current.Value) != "1" {
			t.Errorf("swap at a revision of the era before: %v", err)
		}
		if err := s.KeepAlive(ctx, lease); !errors.Is(err, store.ErrLeaseLapsed) {
			t.Errorf("renewal of a lease from before the restore: %v", err)
		}
		again, err := s.CompareAndSwap(ctx, "a", conflict.Current.Revision, []byte("3"), 0)
		if err != nil || again.Revision != store.Revision(1, kept.Revision+2) {
			t.Errorf("swap after the restore and the key that is written again: %+v, %v", again, err)
		}
		if changes, _, err := s.Watch(ctx, "a", conflict.Current.Revision, time.Minute); err != nil || len(changes) != 1 {
			t.Errorf("watch after the restore: %+v, %v", changes, err)
		}
	})
}
