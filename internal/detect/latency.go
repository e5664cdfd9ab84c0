package detect

import "time"

const (
	// slowFactor, stalledFactor and unresponsiveFactor are multiples of the baseline latency, the estimated normal time
	// to the first byte. Responses of a healthy target rarely take slowFactor times the baseline. A target that is 10
	// times slower exceeds stalledFactor times the baseline for half its responses.
	slowFactor         = 3
	stalledFactor      = 10
	unresponsiveFactor = 30
	// minSlowDelay is the smallest delay over the baseline that counts as slow. Smaller delays can be caused by
	// scheduling on a busy machine.
	minSlowDelay = 20 * time.Millisecond
	// idleStalled and idleUnresponsive apply to a response that has begun: the time without progress after which the
	// request counts as stalled or unresponsive.
	idleStalled      = 5 * time.Second
	idleUnresponsive = 15 * time.Second
)

// ClassOf returns the class of a time to the first byte. A baseline of 0 means that none is available yet.
func ClassOf(firstByte, baseline time.Duration) Class {
	if baseline <= 0 || firstByte-baseline < minSlowDelay {
		return Prompt
	}
	switch {
	case firstByte > unresponsiveFactor*baseline:
		return Unresponsive
	case firstByte > stalledFactor*baseline:
		return Stalled
	case firstByte > slowFactor*baseline:
		return Slow
	}
	return Prompt
}

// classifyInFlight returns the class that a request in flight has reached so far.
func classifyInFlight(request InFlight, baseline time.Duration) Class {
	if request.Limit > 0 && request.Waiting >= request.Limit {
		return Unresponsive
	}
	if request.Idle >= idleUnresponsive {
		return Unresponsive
	}
	class := ClassOf(request.Waiting, baseline)
	if request.Idle >= idleStalled {
		class = max(class, Stalled)
	}
	return class
}
