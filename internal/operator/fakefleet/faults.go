package fakefleet

import (
	"github.com/sardinereach/sardinereach/internal/store"
)

// Fault is a failure that is injected into one write.
type Fault uint8

const (
	// ResponseLostAfterWrite means that the write takes effect and its response is lost.
	ResponseLostAfterWrite Fault = iota
	// ResponseLostBeforeWrite means that the write takes no effect and the caller gets no response.
	ResponseLostBeforeWrite
	// Unavailable means that the store refuses the write with store.ErrUnavailable.
	Unavailable
)

// Inject makes the next writes fail, one for each fault.
func (f *Fleet) Inject(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, faults...)
}

// BeforeNextWrite runs change once, after the next write was sent and before the store compares the revisions.
func (f *Fleet) BeforeNextWrite(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeWrite = change
}

// write runs one write under the injected faults. The fleet's lock is held during apply.
func (f *Fleet) write(apply func() error) error {
	f.runBeforeWrite()
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
	case ResponseLostAfterWrite:
		// The caller gets no information on whether the write took effect.
		_ = apply()
	}
	return store.ErrUnknownOutcome
}

func (f *Fleet) runBeforeWrite() {
	f.mu.Lock()
	beforeWrite := f.beforeWrite
	f.beforeWrite = nil
	f.mu.Unlock()
	if beforeWrite != nil {
		beforeWrite()
	}
}
