package detect

import "time"

const (
	// slowFactor, stalledFactor and silentFactor are multiples of the usual time to the first byte. Answers of a
	// healthy target rarely take slowFactor times the usual time; a target that is 10 times slower takes stalledFactor
	// times for half its answers.
	slowFactor    = 3
	stalledFactor = 10
	silentFactor  = 30
	// minimumSlow is the least delay over the usual time that counts as slow. Below it, scheduling on a busy machine
	// explains the difference.
	minimumSlow = 20 * time.Millisecond
	// idleStalled and idleSilent are the times without progress of an answer that has begun.
	idleStalled = 5 * time.Second
	idleSilent  = 15 * time.Second
)

// ClassOf returns the class of a time to the first byte. A usual time of 0 means that there is nothing to compare with.
func ClassOf(firstByte, usual time.Duration) Class {
	if usual <= 0 || firstByte-usual < minimumSlow {
		return Prompt
	}
	switch {
	case firstByte > silentFactor*usual:
		return Silent
	case firstByte > stalledFactor*usual:
		return Stalled
	case firstByte > slowFactor*usual:
		return Slow
	}
	return Prompt
}

// judgeInFlight returns the class that a request in flight has reached already.
func judgeInFlight(request InFlight, usual time.Duration) Class {
	if request.Limit > 0 && request.Waiting >= request.Limit {
		return Silent
	}
	if request.Idle >= idleSilent {
		return Silent
	}
	class := ClassOf(request.Waiting, usual)
	if request.Idle >= idleStalled {
		class = max(class, Stalled)
	}
	return class
}
