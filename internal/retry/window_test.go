package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against additional attempts that exceed the share and the extra in some span of the window's length, and against a
// window that allows none after a long pause.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	const (
		length = 10 * time.Second
		share  = 0.2
		extra  = 6.0
		// jitter is the tolerance for the random spacing of first attempts: the window also counts a part of a bucket
		// outside of the span.
		jitter = 1.0
	)
	random := rand.New(rand.NewPCG(1, 2))
	w := NewWindow(length, share)
	var firsts, retries []time.Duration
	now := time.Duration(0)
	for range 20_000 {
		now += time.Duration(random.ExpFloat64() * float64(50*time.Millisecond))
		if random.IntN(500) == 0 {
			now += time.Duration(random.IntN(30)) * time.Second
		}
		if random.IntN(2) == 0 {
			w.AddFirst(now)
			firsts = append(firsts, now)
			continue
		}
		if w.Allows(now, extra) {
			w.AddRetry(now)
			retries = append(retries, now)
		}
		// The first attempts in the span, or in the span that ended half a length earlier, may have earned the retries.
		earned := max(since(firsts, now-length), since(firsts, now-3*length/2)-since(firsts, now-length/2))
		limit := share*float64(earned) + extra
		if got := since(retries, now-length); float64(got) > limit+jitter {
			t.Fatalf("at %v: %d retries in %v, want at most %.1f", now, got, length, limit)
		}
	}
	now += time.Hour
	for i := range int(extra) {
		if !w.Allows(now, extra) {
			t.Fatalf("after a pause %d retries are allowed, want %d", i, int(extra))
		}
		w.AddRetry(now)
	}
	if w.Allows(now, extra) {
		t.Error("one more than the extra is allowed")
	}
}

func since(times []time.Duration, from time.Duration) int {
	count := 0
	for i := len(times) - 1; i >= 0 && times[i] > from; i-- {
		count++
	}
	return count
}
