package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// settlePauseMin and settlePauseMax bound the pause between two attempts to settle a write; it doubles.
	settlePauseMin = 50 * time.Millisecond
	settlePauseMax = 2 * time.Second
)

// SwapAndSettle is CompareAndSwap for values that contain an ID of the change, so that a lost answer can be settled.
// includes reports whether a stored value is, or was derived from, the value of this change.
//
// After a lost answer the same swap is sent again, with the same expected revision: at most one of them takes effect,
// also if the first one is still under way. With expect 0 this does not hold if somebody deletes the key in between: it
// is created again. It returns ErrUnknownOutcome if ctx ends before the outcome is known, and a
// *ConflictError if the change did not take effect and will not. If another change was derived from this one already,
// the returned KV is that later one.
func SwapAndSettle(
	ctx context.Context, s Store, key string, expect int64, value []byte, lease LeaseID, includes func([]byte) bool,
) (KV, error) {
	pause := settlePauseMin
	unknown := false
	for {
		kv, err := s.CompareAndSwap(ctx, key, expect, value, lease)
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			if unknown && conflict.Exists && includes(conflict.Current.Value) {
				return conflict.Current, nil
			}
			return KV{}, err
		case errors.Is(err, ErrUnknownOutcome):
			unknown = true
		case !unknown || !errors.Is(err, ErrUnavailable):
			return kv, err
		}
		if !sleep(ctx, pause) {
			return KV{}, &callError{kind: ErrUnknownOutcome, cause: ctx.Err()}
		}
		pause = min(2*pause, settlePauseMax)
	}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
