package fakestore

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// Watch implements store.Store.
func (s *Store) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Change, int64, error) {
	if err := s.read(ctx, store.KindWatch, func() error { return nil }); err != nil {
		return nil, 0, err
	}
	expired := time.NewTimer(s.boundedWait(wait))
	defer expired.Stop()
	for last := false; ; {
		changes, revision, changed, err := s.poll(prefix, after)
		if err != nil || len(changes) > 0 || last {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-expired.C:
			last = true
		case <-ctx.Done():
			return nil, 0, newCallError(store.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) boundedWait(wait time.Duration) time.Duration {
	return min(wait, time.Duration(s.state.limits.MaxWaitMS)*time.Millisecond)
}

// poll returns the changes so far, and the channel that is closed at the next change.
func (s *Store) poll(prefix string, after int64) ([]store.Change, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, 0, nil, store.ErrUnavailable
	}
	changes, complete := s.state.history.after(prefix, after)
	if !complete || after > s.state.revision {
		return nil, 0, nil, store.ErrCompacted
	}
	return changes, s.state.revision, s.state.changed, nil
}
