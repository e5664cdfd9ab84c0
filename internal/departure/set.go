// Package departure keeps the departures of targets: the promises that targets which have said that they leave get no more
// requests. A Set is merged from several sources in any order. It reads no clock and is not safe for concurrent use.
package departure

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// TTL is the time for which a departure is kept. Announcements delayed by a partition arrive within seconds of its end.
	TTL = 10 * time.Minute
	// maxEntries bounds a set. A node has few targets; the departures that were added last are kept.
	maxEntries = 64
)

// Set holds the newest departure of each target.
type Set struct {
	entries map[model.TargetID]entry
}

// entry is a departure and the time at which it was added or last changed.
type entry struct {
	departure model.Departure
	at        time.Duration
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: make(map[model.TargetID]entry)} }

// Add adds a departure at the time now. It reports whether the set did not cover it yet.
func (s *Set) Add(now time.Duration, d model.Departure) bool {
	present, ok := s.entries[d.Target]
	if ok && present.departure.Includes(d) {
		return false
	}
	s.entries[d.Target] = entry{departure: d, at: now}
	if len(s.entries) > maxEntries {
		s.removeOldest()
	}
	return true
}

func (s *Set) removeOldest() {
	var oldest model.TargetID
	for id, e := range s.entries {
		if first, ok := s.entries[oldest]; !ok || e.at < first.at || e.at == first.at && id < oldest {
			oldest = id
		}
	}
	delete(s.entries, oldest)
}

// Get returns the departure of the target, and false if there is none.
func (s *Set) Get(id model.TargetID) (model.Departure, bool) {
	e, ok := s.entries[id]
	return e.departure, ok
}

// Expire removes the departures that were added more than TTL before now.
func (s *Set) Expire(now time.Duration) {
	for id, e := range s.entries {
		if now-e.at > TTL {
			delete(s.entries, id)
		}
	}
}

// Len returns the number of departures.
func (s *Set) Len() int { return len(s.entries) }

// List returns the departures in order of their targets, nil if there are none.
func (s *Set) List() []model.Departure {
	var list []model.Departure
	for _, e := range s.entries {
		list = append(list, e.departure)
	}
	slices.SortFunc(list, func(a, b model.Departure) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return list
}
