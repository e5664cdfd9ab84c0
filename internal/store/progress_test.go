package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against answers that are requested again while they arrive because another call was answered.
func TestCancelSilentKeepsArrivingAnswers(t *testing.T) {
	ctx, cancel := store.WithProgressTimeout(t.Context(), time.Minute, time.Minute)
	defer cancel()
	store.Progress(ctx)
	store.CancelSilent(ctx)
	if ctx.Err() != nil {
		t.Error("an answer that arrives was given up")
	}
	silent, cancel := store.WithProgressTimeout(t.Context(), time.Minute, time.Minute)
	defer cancel()
	store.CancelSilent(silent)
	if silent.Err() == nil {
		t.Error("a call without an answer goes on")
	}
}

// Guards against large answers that are given up and requested again while they arrive, and against calls that never end.
func TestProgressTimeout(t *testing.T) {
	const first, stall = 3 * time.Second, time.Second
	const longest = 5 * stall
	cases := []struct {
		name string
		// every is the time between two parts of the answer, 0 for none.
		every time.Duration
		parts int
		lasts time.Duration
	}{
		{"no answer", 0, 0, first},
		{"an answer that stops", 900 * time.Millisecond, 2, 1800*time.Millisecond + stall},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := store.WithProgressTimeout(t.Context(), first, stall)
				defer cancel()
				start := time.Now()
				for range c.parts {
					time.Sleep(c.every)
					store.Progress(ctx)
				}
				<-ctx.Done()
				if time.Since(start) != c.lasts {
					t.Errorf("ended after %v, want %v", time.Since(start), c.lasts)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := store.WithProgressTimeout(t.Context(), first, stall)
		defer cancel()
		start := time.Now()
		for ctx.Err() == nil && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
			store.Progress(ctx)
		}
		if took := time.Since(start); took > longest+200*time.Millisecond {
			t.Errorf("an answer that never ends was read for %v", took)
		}
		if err := context.Cause(ctx); err != context.DeadlineExceeded {
			t.Errorf("cause %v", err)
		}
	})
}
