package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// retryPauseMin and retryPauseMax bound the pause between two attempts of a write. The pause doubles each time.
	retryPauseMin = 50 * time.Millisecond
	retryPauseMax = 2 * time.Second
)

// SwapAndResolve is CompareAndSwap for values that contain an ID of the change, which allows it to resolve an unknown
// outcome. containsChange reports whether a stored value is the value of this change or was derived from it.
//
// After an unknown outcome the same swap is sent again with the same expected revision. At most one of the swaps takes
// effect, even if the first one is still in progress. This does not hold for expect 0 if the key is deleted between the
// two swaps: the second one then creates it again.
//
// SwapAndResolve returns ErrUnknownOutcome if ctx ends before the outcome is resolved, and a *ConflictError if the change
// did not and will not take effect. If a later change was already derived from this one, it returns the KV of the later
// change.
func SwapAndResolve(
	ctx context.Context, s Store, key string, expect int64, value []byte, lease LeaseID, containsChange func([]byte) bool,
) (KV, error) {
	pause := retryPauseMin
	unknown := false
	for {
		kv, err := s.CompareAndSwap(ctx, key, expect, value, lease)
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			if unknown && conflict.Exists && containsChange(conflict.Current.Value) {
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
		pause = min(2*pause, retryPauseMax)
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
