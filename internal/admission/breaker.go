package admission

import "time"

const (
	// initialProbeInterval is the time between the starts of the first two probes. The interval doubles with each further
	// probe. It is measured from the start of a probe, so that a probe that hangs does not delay the next one: it may run
	// until its deadline, long after the target has recovered.
	initialProbeInterval = 200 * time.Millisecond
	// maxProbeInterval bounds the probe interval, and so the time for which a recovered target stays restricted.
	maxProbeInterval = 500 * time.Millisecond
	// minRequiredSuccesses and maxRequiredSuccesses bound the number of consecutive successes that close a half-open breaker.
	// A target that fails three quarters of its requests has two consecutive successes once in sixteen tries.
	minRequiredSuccesses = 2
	maxRequiredSuccesses = 3
	// failureStatusThreshold is the number of responses with a failure status, minus the successes since, that trips the
	// breaker. A single one is weak evidence: the target may have failed because one of its own calls failed. One after a
	// quick run trips the breaker by itself.
	failureStatusThreshold = 2
	// overdueThreshold is the number of overdue runs, minus the successes since, that trips the breaker. One healthy run in
	// thirty is overdue, so with a threshold of 1 the breaker of a busy target would trip every few seconds.
	overdueThreshold = 2
	// shedThreshold is the number of sheds, minus twice the successes since, that trips the breaker. A shed costs its caller
	// little, and a target that sheds half of its requests still serves the other half.
	shedThreshold = 4
	// retripWindow is the time after the breaker closed in which another trip requires one more success than the last one.
	retripWindow = 4 * time.Second
)

// breaker is the circuit breaker of one target. It is closed or half-open. Failed and overdue runs trip it, consecutive
// successes close it. A half-open breaker admits only idempotent requests, a few per second, because these can be retried at
// another target. The breaker handles targets that hang or fail most of their requests for seconds while their health check
// passes.
type breaker struct {
	halfOpen bool
	// remainingSuccesses is the number of consecutive successes that the breaker still needs to close.
	remainingSuccesses int
	// successThreshold is the number of consecutive successes required after the last trip or failure.
	successThreshold int
	probeInterval    time.Duration
	// nextProbeAt is the active time from which the next probe may start.
	nextProbeAt time.Duration
	// trippedAt and closedAt are the active times at which the breaker last tripped and last closed.
	trippedAt       time.Duration
	closedAt        time.Duration
	failureStatuses int
	// overdueRuns is the number of overdue runs, minus the successes since.
	overdueRuns int
	sheds       int
}

// recordShed records a request that the target reported as shed.
func (b *breaker) recordShed(now time.Duration) {
	b.sheds++
	if b.sheds >= shedThreshold {
		b.recordFailure(now)
	}
}

// recordOverdue records a run that has become overdue.
func (b *breaker) recordOverdue(now time.Duration) {
	b.overdueRuns++
	if b.halfOpen || b.overdueRuns >= overdueThreshold {
		b.recordFailure(now)
	}
}

// recordFailureStatus records a response with a failure status.
func (b *breaker) recordFailureStatus(now time.Duration) {
	b.failureStatuses++
	if b.halfOpen || b.failureStatuses >= failureStatusThreshold {
		b.recordFailure(now)
	}
}

// recordFailure trips a closed breaker. For a half-open one it restarts the count of consecutive successes and requires one
// more, up to maxRequiredSuccesses.
func (b *breaker) recordFailure(now time.Duration) {
	if !b.halfOpen {
		b.trip(now)
		return
	}
	b.successThreshold = min(b.successThreshold+1, maxRequiredSuccesses)
	b.remainingSuccesses = b.successThreshold
}

// recordProbe records that a request has started at a target whose breaker is half-open.
func (b *breaker) recordProbe(now time.Duration) {
	b.nextProbeAt = now + b.probeInterval
	b.probeInterval = min(2*b.probeInterval, maxProbeInterval)
}

func (b *breaker) trip(now time.Duration) {
	b.halfOpen = true
	b.trippedAt = now
	b.failureStatuses = 0
	b.overdueRuns = 0
	b.sheds = 0
	if b.successThreshold > 0 && now-b.closedAt < retripWindow {
		b.successThreshold = min(b.successThreshold+1, maxRequiredSuccesses)
	} else {
		b.successThreshold = minRequiredSuccesses
	}
	b.remainingSuccesses = b.successThreshold
	b.probeInterval = initialProbeInterval
	b.nextProbeAt = now
}

// recordSuccess records a success, also of an overdue run.
func (b *breaker) recordSuccess(now time.Duration) {
	b.failureStatuses = max(b.failureStatuses-1, 0)
	b.overdueRuns = max(b.overdueRuns-1, 0)
	b.sheds = max(b.sheds-2, 0)
	if !b.halfOpen {
		return
	}
	b.remainingSuccesses--
	if b.remainingSuccesses > 0 {
		b.nextProbeAt = now
		return
	}
	b.halfOpen = false
	b.closedAt = now
}

// admits reports whether a request may start. probes is the number of runs in flight that started since the breaker
// tripped. They may occupy all slots but one, because a probe that hangs occupies its slot for long.
func (b *breaker) admits(now time.Duration, idempotent bool, probes, slots int) bool {
	if !b.halfOpen {
		return true
	}
	return idempotent && probes < max(slots-1, 1) && now >= b.nextProbeAt
}
