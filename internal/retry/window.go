package retry

import "time"

// windowBuckets is the number of buckets into which the length of a Window is divided. A Window has one bucket more, so
// that any span of the window's length lies within the counted buckets.
const windowBuckets = 10

// Window bounds the additional attempts (retries and hedges) of a service at one admission point. In any span of its length
// they are at most a share of the first attempts plus an extra. The admission point counts them, because budgets at the
// accepting nodes would leave one node without retries that another one does not use. It is not safe for concurrent use.
type Window struct {
	share   float64
	width   time.Duration
	buckets [windowBuckets + 1]windowBucket
	// number is the number of the newest bucket, counted from the start of the clock.
	number int64
}

type windowBucket struct{ firsts, retries int }

// NewWindow returns a window of the given length that allows the share of the first attempts as additional attempts.
func NewWindow(length time.Duration, share float64) *Window {
	// The additional bucket must not increase the number of additional attempts that the window allows.
	counted := float64(windowBuckets) / (windowBuckets + 1)
	return &Window{share: share * counted, width: length / windowBuckets}
}

// AddFirst counts a first attempt of a request.
func (w *Window) AddFirst(now time.Duration) { w.bucket(now).firsts++ }

// AddRetry counts an additional attempt of a request, that is a retry or a hedge.
func (w *Window) AddRetry(now time.Duration) { w.bucket(now).retries++ }

// Allows reports whether one more additional attempt stays within the share and the extra.
func (w *Window) Allows(now time.Duration, extra float64) bool {
	w.bucket(now)
	var firsts, retries int
	for _, b := range w.buckets {
		firsts += b.firsts
		retries += b.retries
	}
	return float64(retries+1) <= w.share*float64(firsts)+extra
}

// bucket returns the bucket of the current time and clears the buckets that start after the last call. An earlier time is
// counted in the newest bucket.
func (w *Window) bucket(now time.Duration) *windowBucket {
	number := max(int64(now/w.width), w.number)
	size := int64(len(w.buckets))
	for n := max(w.number+1, number-size+1); n <= number; n++ {
		w.buckets[n%size] = windowBucket{}
	}
	w.number = number
	return &w.buckets[number%size]
}
