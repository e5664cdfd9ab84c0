package once

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// maxSwaps bounds the swaps of one write whose answers are lost.
const maxSwaps = 3

// step is what to do next for a write.
type step uint8

const (
	// stepSwap means to send the swap.
	stepSwap step = iota
	// stepRead means to read the key back, because the answer of the swap was lost.
	stepRead
	// stepDone means that the write took effect.
	stepDone
	// stepConflict means that the key holds something else.
	stepConflict
	// stepGiveUp means that the write was not seen to take effect.
	stepGiveUp
)

// write is the state of one compare-and-swap whose answers may be lost. Every swap of a write carries the same value at
// the same expected revision, so that at most one of them takes effect, however late it arrives.
type write struct {
	key    string
	expect int64
	value  []byte
	swaps  int
	// doubtful means that a swap of unknown outcome was sent. It may take effect even after the write was given up.
	doubtful bool
	// current is the key as it was last seen.
	current store.KV
}

// swapped takes in the answer to a swap.
func (w *write) swapped(kv store.KV, err error) step {
	w.swaps++
	if err == nil {
		w.current = kv
		return stepDone
	}
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return w.found(conflict.Current, conflict.Exists)
	case errors.Is(err, store.ErrUnavailable):
		return stepGiveUp
	}
	w.doubtful = true
	return stepRead
}

// read takes in the answer to reading the key back.
func (w *write) read(kv store.KV, err error) step {
	switch {
	case err == nil && kv.Revision != w.expect:
		return w.found(kv, true)
	case err != nil && !errors.Is(err, store.ErrNotFound):
		return stepGiveUp
	case err != nil && w.expect != 0:
		return w.found(store.KV{}, false)
	}
	if w.swaps >= maxSwaps {
		return stepGiveUp
	}
	return stepSwap
}

// found compares the key with the value of the write.
func (w *write) found(kv store.KV, exists bool) step {
	w.current = kv
	if exists && bytes.Equal(kv.Value, w.value) {
		return stepDone
	}
	return stepConflict
}
