package retry

import "time"

// windowBuckets is the number of parts in which a Window counts. One more is kept, so that every span of the window's length
// lies within what is counted.
const windowBuckets = 10

// Window bounds the repeats of the requests of a service at one admission point: over any span of its length they are at most
// a share of the first attempts and an extra. It is kept where attempts arrive, so that no accepting node lacks what another
// one does not use. It is not safe for concurrent use.
type Window struct {
	share   float64
	width   time.Duration
	buckets [windowBuckets + 1]windowBucket
	// number is that of the newest bucket since the clock began.
	number int64
}

type windowBucket struct{ firsts, repeats int }

// NewWindow returns a window of the given length that allows the share of the first attempts as repeats.
func NewWindow(length time.Duration, share float64) *Window {
	// The part of a bucket more that is counted must not earn more than the length does.
	counted := float64(windowBuckets) / (windowBuckets + 1)
	return &Window{share: share * counted, width: length / windowBuckets}
}

// First counts the first attempt of a request.
func (w *Window) First(now time.Duration) { w.bucket(now).firsts++ }

// Repeat counts a further attempt of a request.
func (w *Window) Repeat(now time.Duration) { w.bucket(now).repeats++ }

// Allows reports whether one more repeat stays within the share and the extra.
func (w *Window) Allows(now time.Duration, extra float64) bool {
	w.bucket(now)
	var firsts, repeats int
	for _, b := range w.buckets {
		firsts += b.firsts
		repeats += b.repeats
	}
	return float64(repeats+1) <= w.share*float64(firsts)+extra
}

// bucket returns the bucket of the present and empties those that have passed since the last call. Time never goes back.
func (w *Window) bucket(now time.Duration) *windowBucket {
	number := max(int64(now/w.width), w.number)
	size := int64(len(w.buckets))
	for n := max(w.number+1, number-size+1); n <= number; n++ {
		w.buckets[n%size] = windowBucket{}
	}
	w.number = number
	return &w.buckets[number%size]
}
