package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreatedAt int64  `json:"createdAt"`
	Lease     int64  `json:"lease"`
}

// change is an event of a watch.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// kvStore is the stand-in of the platform's store. It keeps its whole history.
type kvStore struct {
	address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []change
	changed chan struct{}
}

// startStore serves a store on the loopback address ip.
func startStore(ip string) (*kvStore, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{address: listener.Addr().String(), rev: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.StoreKey, s.serveKey)
	mux.HandleFunc("GET "+names.StoreRange, s.serveRange)
	mux.HandleFunc("GET "+names.StoreWatch, s.serveWatch)
	mux.HandleFunc("POST "+names.StoreTxn, s.serveTxn)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value)
	s.wake()
}

// set stores a value at the current revision. s.mu is held.
func (s *kvStore) set(key string, value []byte) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, CreatedAt: created}
	s.history = append(s.history, change{item: s.items[key]})
}

// wake ends the pending watches. s.mu is held.
func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{found, s.rev})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": s.rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, rev, changed := s.since(prefix, after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) since(prefix string, after int64) ([]change, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []change{}
	for _, c := range s.history {
		if c.Rev > after && strings.HasPrefix(c.Key, prefix) {
			events = append(events, c)
		}
	}
	return events, s.rev, s.changed
}

// transaction is the body of the transaction call.
type transaction struct {
	ExpectedRev []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range txn.ExpectedRev {
		if s.items[expected.Key].Rev != expected.Rev {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": s.current(&txn)})
			return
		}
	}
	s.rev++
	for _, put := range txn.Puts {
		s.set(put.Key, put.Value)
	}
	for _, key := range txn.Remove {
		delete(s.items, key)
		s.history = append(s.history, change{item: item{Key: key, Rev: s.rev}, Deleted: true})
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

// current returns the items of the transaction's preconditions. s.mu is held.
func (s *kvStore) current(txn *transaction) []item {
	items := []item{}
	for _, expected := range txn.ExpectedRev {
		if found, ok := s.items[expected.Key]; ok {
			items = append(items, found)
		}
	}
	return items
}
