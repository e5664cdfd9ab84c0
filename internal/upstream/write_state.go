package upstream

import "sync"

// writeState keeps the first error of the writes on a connection and lets a read wait for a write that runs.
type writeState struct {
	mu      sync.Mutex
	running int
	err     error
	// idle is closed when no write runs any more. It is nil unless a read waits.
	idle chan struct{}
}

// begin records the start of a write.
func (w *writeState) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
}

// end records the end of a write.
func (w *writeState) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if w.err == nil {
		w.err = err
	}
	if w.running == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// wait waits until no write runs and returns the first error of the writes, or nil.
func (w *writeState) wait() error {
	if idle := w.untilIdle(); idle != nil {
		<-idle
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// untilIdle returns a channel that is closed when no write runs, or nil if none runs now.
func (w *writeState) untilIdle() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == 0 {
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	return w.idle
}
