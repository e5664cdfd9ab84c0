package once

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// maxSwaps bounds the swaps that one write sends while their outcomes are unknown.
const maxSwaps = 3

// step is the next step or the result of a write.
type step uint8

const (
	// stepSwap means that the swap is sent.
	stepSwap step = iota
	// stepRead means that the key is read back because the outcome of the swap is unknown.
	stepRead
	// stepDone means that the write took effect.
	stepDone
	// stepConflict means that the key has another value.
	stepConflict
	// stepFailed means that the write was not confirmed. It may still take effect if outcomeUnknown is set.
	stepFailed
)

// write is the state of one compare-and-swap whose responses may be lost. All swaps of a write have the same value and
// the same expected revision, so that at most one of them takes effect, however late it arrives.
type write struct {
	key    string
	expect int64
	value  []byte
	swaps  int
	// outcomeUnknown means that the outcome of a swap is unknown. It may take effect even after the write has failed.
	outcomeUnknown bool
	// current is the last observed value of the key.
	current store.KV
}

// handleSwap processes the response to a swap and returns the next step.
func (w *write) handleSwap(kv store.KV, err error) step {
	w.swaps++
	if err == nil {
		w.current = kv
		return stepDone
	}
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return w.compare(conflict.Current, conflict.Exists)
	case errors.Is(err, store.ErrUnavailable):
		return stepFailed
	}
	w.outcomeUnknown = true
	return stepRead
}

// handleRead processes the response to reading the key back and returns the next step.
func (w *write) handleRead(kv store.KV, err error) step {
	switch {
	case err == nil && kv.Revision != w.expect:
		return w.compare(kv, true)
	case err != nil && !errors.Is(err, store.ErrNotFound):
		return stepFailed
	case err != nil && w.expect != 0:
		return w.compare(store.KV{}, false)
	}
	if w.swaps >= maxSwaps {
		return stepFailed
	}
	return stepSwap
}

// compare returns stepDone if the key has the value of the write, and stepConflict otherwise.
func (w *write) compare(kv store.KV, exists bool) step {
	w.current = kv
	if exists && bytes.Equal(kv.Value, w.value) {
		return stepDone
	}
	return stepConflict
}
