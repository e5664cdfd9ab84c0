package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against repeats that go over the share and the extra in some span of the window's length, and against a window that
// allows none after a long pause.
func TestWindowBoundsRepeatsInEverySpan(t *testing.T) {
	const (
		length = 10 * time.Second
		share  = 0.2
		extra  = 6.0
		// jitter is what the random spacing of first attempts may add to the part of a span that is counted beyond it.
		jitter = 1.0
	)
	random := rand.New(rand.NewPCG(1, 2))
	w := NewWindow(length, share)
	var firsts, repeats []time.Duration
	now := time.Duration(0)
	for range 20_000 {
		now += time.Duration(random.ExpFloat64() * float64(50*time.Millisecond))
		if random.IntN(500) == 0 {
			now += time.Duration(random.IntN(30)) * time.Second
		}
		if random.IntN(2) == 0 {
			w.First(now)
			firsts = append(firsts, now)
			continue
		}
		if w.Allows(now, extra) {
			w.Repeat(now)
			repeats = append(repeats, now)
		}
		// First attempts in the span, and in the one that ended half a length before, may have earned the repeats.
		earned := max(since(firsts, now-length), since(firsts, now-3*length/2)-since(firsts, now-length/2))
		limit := share*float64(earned) + extra
		if got := since(repeats, now-length); float64(got) > limit+jitter {
			t.Fatalf("at %v: %d repeats in %v, want at most %.1f", now, got, length, limit)
		}
	}
	now += time.Hour
	for i := range int(extra) {
		if !w.Allows(now, extra) {
			t.Fatalf("after a pause %d repeats are allowed, want %d", i, int(extra))
		}
		w.Repeat(now)
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
