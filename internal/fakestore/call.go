package fakestore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sardinereach/sardinereach/internal/store"
)

// errRateLimited is the cause of a call refused by a rate limit.
var errRateLimited = errors.New("fakestore: rate limit exceeded")

// callError is a failed call: kind is store.ErrUnavailable or store.ErrUnknownOutcome.
type callError struct {
	kind  error
	cause error
}

func newCallError(kind, cause error) error { return &callError{kind: kind, cause: cause} }

// Error implements the error interface.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap makes errors.Is match both the kind and the cause.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// read runs a read-only call.
func (s *Store) read(ctx context.Context, kind string, apply func() error) error {
	delay, err := s.startCall(kind, func(l limiters) *rate.Limiter { return l.reads })
	if err != nil {
		return err
	}
	if err := sleep(ctx, delay); err != nil {
		return newCallError(store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return store.ErrUnavailable
	}
	return apply()
}

// write runs a call that may change the store. If the caller's context ends during the delay, the call still takes
// effect later, as in a store that is slow to commit.
func write[T any](ctx context.Context, s *Store, kind string, apply func() (T, error)) (T, error) {
	var zero T
	delay, err := s.startCall(kind, func(l limiters) *rate.Limiter { return l.writes })
	if err != nil {
		return zero, err
	}
	if err := sleep(ctx, delay); err != nil {
		time.AfterFunc(delay, func() { _, _ = commit(s, apply) })
		return zero, newCallError(store.ErrUnknownOutcome, err)
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

// loseAnswer reports whether the response to this write is lost, and decrements the number of responses to lose.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers < 0
}

// startCall counts the call and returns its injected delay, or an error if the call is refused.
func (s *Store) startCall(kind string, limiter func(limiters) *rate.Limiter) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	if s.faults.Down {
		return 0, store.ErrUnavailable
	}
	if limit := limiter(s.limits); limit != nil && !limit.Allow() {
		return 0, newCallError(store.ErrUnavailable, errRateLimited)
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
