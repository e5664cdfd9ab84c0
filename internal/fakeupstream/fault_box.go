package fakeupstream

import "sync"

// faultBox holds the faults in force and wakes handlers that wait for them to end.
type faultBox struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultBox() *faultBox {
	return &faultBox{changed: make(chan struct{})}
}

// get returns the faults in force and a channel that is closed when they change.
func (b *faultBox) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// waitUntil returns true once ok holds for the faults in force, and false if done is closed first.
func (b *faultBox) waitUntil(done <-chan struct{}, ok func(Faults) bool) bool {
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

func thawed(f Faults) bool { return !f.Freeze }

func answering(f Faults) bool { return !f.Hang && !f.Freeze }
