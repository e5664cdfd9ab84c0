package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// moment is what a drawn outcome depends on.
type moment struct {
	rng    *rand.Rand
	target int
	// since is the time since the fault began; negative before.
	since time.Duration
}

// fault reports whether the moment is at the faulty target after the fault began.
func (m moment) fault() bool { return m.target == 0 && m.since >= 0 }

// scenario generates the outcomes of one kind of trouble.
type scenario struct {
	name string
	// failing means that target 0 really fails, so its ejection is right. Otherwise every ejection is false.
	failing bool
	// flaps means that the failing target is well for half the time, so that no bound applies to its first detection.
	flaps bool
	// draw returns the outcome of a request.
	draw func(m moment) drawn
	// probe returns the result of a probe; nil means that all probes succeed.
	probe func(m moment) bool
	// load returns the factor on the rate of requests; nil means 1.
	load func(m moment) float64
	// extra is the factor on the share of requests that target 0 gets after the fault began, 0 for 1.
	extra float64
}

// drawn is a generated outcome and the time after which it is known.
type drawn struct {
	outcome detect.Outcome
	takes   time.Duration
}

// failedWith turns an outcome into a failure for a reason.
func (d drawn) failedWith(reason verdict.Reason, takes time.Duration) drawn {
	d.outcome.Failed = true
	d.outcome.Reason = reason
	if reason != "" {
		d.outcome.FirstByte = 0
	}
	d.takes = takes
	return d
}

// slower multiplies the time to the first byte. What exceeds the limit is a timeout.
func (d drawn) slower(factor float64) drawn {
	was := d.outcome.FirstByte
	d.outcome.FirstByte = time.Duration(float64(was) * factor)
	d.takes += d.outcome.FirstByte - was
	if d.outcome.FirstByte > firstByteLimit {
		return d.failedWith(verdict.UpstreamTimeout, firstByteLimit)
	}
	return d
}
