package metrics

import "github.com/sardinereach/sardinereach/internal/verdict"

// reasonCounters holds a counter for every reason.
type reasonCounters struct{ *counters[verdict.Reason] }

func newReasonCounters() reasonCounters {
	return reasonCounters{newCounters(verdict.Reasons())}
}

func (r reasonCounters) add(reason verdict.Reason) { r.counters.add(reason, 1) }
