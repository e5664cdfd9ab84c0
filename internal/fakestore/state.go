package fakestore

import (
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// errInvalid is the error of calls with invalid arguments, or that would exceed a limit of Options.
var errInvalid = errors.New("fakestore: invalid call")

// state is the content of the store. The caller of its methods must hold Store.mu.
type state struct {
	limits    Options
	revision  int64
	keys      map[string]store.KV
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	history   history
	// changed is closed and replaced at each change and when faults are set, to wake the waiting watches.
	changed chan struct{}
}

func newState(limits Options) *state {
	return &state{
		limits:  limits,
		keys:    map[string]store.KV{},
		leases:  map[store.LeaseID]*lease{},
		history: history{limit: limits.MaxHistory},
		changed: make(chan struct{}),
	}
}

func (s *state) list(prefix string) []store.KV {
	var found []store.KV
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (s *state) swap(key string, expect int64, value []byte, id store.LeaseID) (store.KV, error) {
	if err := s.checkSwap(key, value, id); err != nil {
		return store.KV{}, err
	}
	if err := s.compare(key, expect); err != nil {
		return store.KV{}, err
	}
	s.unbindLease(key)
	s.revision++
	kv := store.KV{Key: key, Value: append([]byte(nil), value...), Revision: s.revision, Lease: id}
	s.keys[key] = kv
	if id != 0 {
		s.leases[id].keys[key] = true
	}
	s.record(store.Change{KV: kv})
	return kv, nil
}

func (s *state) checkSwap(key string, value []byte, id store.LeaseID) error {
	if key == "" {
		return errors.Wrap(errInvalid, "the key is empty")
	}
	if len(value) > s.limits.MaxValueBytes {
		return errors.Wrapf(errInvalid, "value of %d bytes is over the limit of %d", len(value), s.limits.MaxValueBytes)
	}
	if _, exists := s.keys[key]; !exists && len(s.keys) >= s.limits.MaxKeys {
		return errors.Wrapf(errInvalid, "the store holds its maximum of %d keys", s.limits.MaxKeys)
	}
	if id != 0 && s.leases[id] == nil {
		return store.ErrLeaseLapsed
	}
	return nil
}

func (s *state) compare(key string, expect int64) error {
	current, exists := s.keys[key]
	if current.Revision == expect {
		return nil
	}
	return &store.ConflictError{Current: current, Exists: exists}
}

func (s *state) compareAndDelete(key string, expect int64) error {
	if _, exists := s.keys[key]; !exists {
		return &store.ConflictError{}
	}
	if err := s.compare(key, expect); err != nil {
		return err
	}
	s.delete(key)
	return nil
}

func (s *state) delete(key string) {
	s.unbindLease(key)
	delete(s.keys, key)
	s.revision++
	s.record(store.Change{KV: store.KV{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *state) unbindLease(key string) {
	if bound := s.leases[s.keys[key].Lease]; bound != nil {
		delete(bound.keys, key)
	}
}

func (s *state) record(change store.Change) {
	s.history.add(change)
	s.wake()
}

func (s *state) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) grantLease(ttl time.Duration) (*lease, error) {
	if ttl <= 0 {
		return nil, errors.Wrapf(errInvalid, "lease of %v", ttl)
	}
	if len(s.leases) >= s.limits.MaxLeases {
		return nil, errors.Wrapf(errInvalid, "the store holds its maximum of %d leases", s.limits.MaxLeases)
	}
	s.lastLease++
	granted := &lease{id: s.lastLease, ttl: ttl, keys: map[string]bool{}}
	s.leases[granted.id] = granted
	return granted, nil
}

// endLease deletes the lease and its keys. It sorts the keys so that their revisions do not depend on map order.
func (s *state) endLease(id store.LeaseID) {
	ended := s.leases[id]
	if ended == nil {
		return
	}
	ended.timer.Stop()
	delete(s.leases, id)
	keys := make([]string, 0, len(ended.keys))
	for key := range ended.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.delete(key)
	}
}
