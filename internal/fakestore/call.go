package fakestore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sardinereach/sardinereach/internal/store"
)

// errRateLimited is the cause of a call refused for its rate.
var errRateLimited = errors.New("fakestore: rate limit exceeded")

// failure is a failed call with its cause.
type failure struct {
	kind  error
	cause error
}

func failed(kind, cause error) error { return &failure{kind: kind, cause: cause} }

// Error implements the error interface.
func (f *failure) Error() string { return f.kind.Error() + ": " + f.cause.Error() }

// Unwrap lets errors.Is find both the kind and the cause.
func (f *failure) Unwrap() []error { return []error{f.kind, f.cause} }

// read runs a call that changes nothing.
func (s *Store) read(ctx context.Context, kind string, apply func() error) error {
	delay, err := s.begin(kind, func(l limiters) *rate.Limiter { return l.reads })
	if err != nil {
		return err
	}
	if err := sleep(ctx, delay); err != nil {
		return failed(store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return store.ErrUnavailable
	}
	return apply()
}

// write runs a call that may change the store. If the caller gives up during the delay, the call still takes effect
// later, as it does in a store that is slow to commit.
func write[T any](ctx context.Context, s *Store, kind string, apply func() (T, error)) (T, error) {
	var zero T
	delay, err := s.begin(kind, func(l limiters) *rate.Limiter { return l.writes })
	if err != nil {
		return zero, err
	}
	if err := sleep(ctx, delay); err != nil {
		time.AfterFunc(delay, func() { _, _ = commit(s, apply) })
		return zero, failed(store.ErrUnknownOutcome, err)
	}
	return commit(s, apply)
}

func commit[T any](s *Store, apply func() (T, error)) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero T
	if s.faults.Down {
		return zero, store.ErrUnavailable
	}
	result, err := apply()
	if s.loseAnswer() {
		return zero, store.ErrUnknownOutcome
	}
	return result, err
}

// loseAnswer counts down the answers that are to be lost.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers < 0
}

// begin counts the call and returns the time to hold it, or the reason why it is refused.
func (s *Store) begin(kind string, limiter func(limiters) *rate.Limiter) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	if s.faults.Down {
		return 0, store.ErrUnavailable
	}
	if limit := limiter(s.limits); limit != nil && !limit.Allow() {
		return 0, failed(store.ErrUnavailable, errRateLimited)
	}
	return time.Duration(s.faults.DelayMS) * time.Millisecond, nil
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
