package quarantine

import "time"

const (
	// successTTL is the least time for which a success is remembered, unless there are more than MaxEntries newer ones.
	successTTL = time.Minute
)

// successes remembers which fingerprints have succeeded recently, in two generations.
type successes struct {
	newer, older map[Fingerprint]struct{}
	// since is the time of the start of the newer generation.
	since time.Duration
}

func newSuccesses() successes { return successes{newer: make(map[Fingerprint]struct{})} }

// record records a success of the fingerprint.
func (s *successes) record(now time.Duration, fingerprint Fingerprint) {
	s.rotate(now)
	s.newer[fingerprint] = struct{}{}
}

// has reports whether the fingerprint has succeeded recently.
func (s *successes) has(now time.Duration, fingerprint Fingerprint) bool {
	s.rotate(now)
	if _, ok := s.newer[fingerprint]; ok {
		return true
	}
	_, ok := s.older[fingerprint]
	return ok
}

// rotate starts a new generation when the newer one is full or old enough.
func (s *successes) rotate(now time.Duration) {
	switch elapsed := now - s.since; {
	case elapsed >= 2*successTTL:
		s.newer = make(map[Fingerprint]struct{})
		s.older = nil
	case elapsed >= successTTL, len(s.newer) >= MaxEntries:
		s.older = s.newer
		s.newer = make(map[Fingerprint]struct{}, len(s.older))
	default:
		return
	}
	s.since = now
}
