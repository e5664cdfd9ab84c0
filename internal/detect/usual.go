package detect

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one answer in the usual time to the first byte: about the last 8 answers count, so
	// that a slow shared dependency soon becomes the usual. A failing target is compared with its peers' usual times.
	usualWeight = 1.0 / 8
	// usualStep bounds the effect of one answer, in natural logarithms, so that a few outliers change little.
	usualStep = 1.0
	// maxRoutes bounds the routes of one detector; further routes are not judged by latency.
	maxRoutes = 64
)

// usual is a robust mean of the logarithm of the time to the first byte.
type usual struct {
	log  float64
	seen bool
}

// add adds one answer.
func (u *usual) add(firstByte time.Duration) {
	value := math.Log(float64(max(firstByte, time.Microsecond)))
	if !u.seen {
		u.log, u.seen = value, true
		return
	}
	step := max(-usualStep, min(usualStep, value-u.log))
	u.log += usualWeight * step
}

// duration returns the usual time, 0 if no answer was seen.
func (u *usual) duration() time.Duration {
	if !u.seen {
		return 0
	}
	return time.Duration(math.Exp(u.log))
}
