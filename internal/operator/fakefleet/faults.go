package fakefleet

import (
	"github.com/sardinereach/sardinereach/internal/store"
)

// Fault is what happens to one write.
type Fault uint8

const (
	// LostAfter means that the write takes effect and its answer is lost.
	LostAfter Fault = iota
	// LostBefore means that the write takes no effect and its answer is lost.
	LostBefore
	// Unavailable means that the store does not take the write.
	Unavailable
)

// Inject makes the next writes fail, one for each fault.
func (f *Fleet) Inject(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, faults...)
}

// BeforeNextWrite runs change once, after the next write was sent and before the store compares it.
func (f *Fleet) BeforeNextWrite(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = change
}

// write runs one write under the injected faults. The fleet's lock is held during apply.
func (f *Fleet) write(apply func() error) error {
	f.runBefore()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) == 0 {
		return apply()
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	switch fault {
	case Unavailable:
		return store.ErrUnavailable
	case LostAfter:
		// The caller must not learn whether the write took effect.
		_ = apply()
	}
	return store.ErrUnknownOutcome
}

func (f *Fleet) runBefore() {
	f.mu.Lock()
	before := f.before
	f.before = nil
	f.mu.Unlock()
	if before != nil {
		before()
	}
}
