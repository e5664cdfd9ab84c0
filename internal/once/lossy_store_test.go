package once

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// memory is the state of an in-memory store. It has no leases or watches, because claims do not use them.
type memory struct {
	mu       sync.Mutex
	kvs      map[string]store.KV
	revision int64
	// down makes every call fail with ErrUnavailable.
	down bool
}

func newMemory() *memory { return &memory{kvs: map[string]store.KV{}} }

func (m *memory) swap(key string, expect int64, value []byte) (store.KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, exists := m.kvs[key]
	if current.Revision != expect {
		return store.KV{}, &store.ConflictError{Current: current, Exists: exists}
	}
	m.revision++
	kv := store.KV{Key: key, Value: value, Revision: m.revision}
	m.kvs[key] = kv
	return kv, nil
}

func (m *memory) remove(key string, expect int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, exists := m.kvs[key]
	if !exists || current.Revision != expect {
		return &store.ConflictError{Current: current, Exists: exists}
	}
	m.revision++
	delete(m.kvs, key)
	return nil
}

func (m *memory) get(key string) (store.KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, exists := m.kvs[key]
	if !exists {
		return store.KV{}, store.ErrNotFound
	}
	return kv, nil
}

// lossyStore is a store client that injects faults: it delays calls, loses responses, and applies some writes of unknown
// outcome much later. The context carries the random source; without one there are no faults.
type lossyStore struct {
	store.Store
	memory *memory
}

// faults is the random source of one goroutine, nil for no faults.
type faults struct{ *rand.Rand }

type faultsKey struct{}

func faultsOf(ctx context.Context) faults {
	f, _ := ctx.Value(faultsKey{}).(faults)
	return f
}

func (f faults) chance(percent int) bool { return f.Rand != nil && f.IntN(100) < percent }

func (f faults) delay(longest time.Duration) {
	if f.Rand != nil {
		time.Sleep(time.Duration(f.Int64N(int64(longest))))
	}
}

func (s *lossyStore) unavailable(f faults) bool {
	f.delay(10 * time.Millisecond)
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.memory.down || f.chance(5)
}

// write applies a write now, or later with an unknown outcome, or now with its response lost.
func (s *lossyStore) write(f faults, apply func() error) error {
	if s.unavailable(f) {
		return store.ErrUnavailable
	}
	if f.chance(10) {
		after := time.Duration(f.Int64N(int64(5 * time.Second)))
		go func() {
			time.Sleep(after)
			_ = apply()
		}()
		return store.ErrUnknownOutcome
	}
	err := apply()
	f.delay(10 * time.Millisecond)
	if f.chance(15) {
		return store.ErrUnknownOutcome
	}
	return err
}

// CompareAndSwap implements store.Store.
func (s *lossyStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, _ store.LeaseID) (store.KV, error) {
	var kv store.KV
	err := s.write(faultsOf(ctx), func() (err error) {
		result, err := s.memory.swap(key, expect, value)
		if err == nil {
			kv = result
		}
		return err
	})
	if err != nil {
		return store.KV{}, err
	}
	return kv, nil
}

// CompareAndDelete implements store.Store.
func (s *lossyStore) CompareAndDelete(ctx context.Context, key string, expect int64) error {
	return s.write(faultsOf(ctx), func() error { return s.memory.remove(key, expect) })
}

// Get implements store.Store.
func (s *lossyStore) Get(ctx context.Context, key string) (store.KV, error) {
	if s.unavailable(faultsOf(ctx)) {
		return store.KV{}, store.ErrUnavailable
	}
	return s.memory.get(key)
}

// List implements store.Store.
func (s *lossyStore) List(ctx context.Context, prefix string) (kvs []store.KV, revision int64, err error) {
	if s.unavailable(faultsOf(ctx)) {
		return nil, 0, store.ErrUnavailable
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	for key, kv := range s.memory.kvs {
		if strings.HasPrefix(key, prefix) {
			kvs = append(kvs, kv)
		}
	}
	return kvs, s.memory.revision, nil
}
