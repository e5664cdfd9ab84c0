package fakeupstream

import "sync"

// activeFaults are the injected faults. A change wakes the handlers that wait for a fault to end.
type activeFaults struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newActiveFaults() *activeFaults {
	return &activeFaults{changed: make(chan struct{})}
}

// get returns the active faults and a channel that is closed when they change.
func (b *activeFaults) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

func (b *activeFaults) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// waitUntil waits until ok returns true for the active faults. It returns false if done is closed first.
func (b *activeFaults) waitUntil(done <-chan struct{}, ok func(Faults) bool) bool {
	for {
		faults, changed := b.get()
		if ok(faults) {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func notFrozen(f Faults) bool { return !f.Freeze }

func canRespond(f Faults) bool { return !f.Hang && !f.Freeze }
