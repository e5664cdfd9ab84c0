package admission

const (
	// unansweredSlotsDivisor divides the slots of a target to give the number of unanswered runs from which it gets no further
	// request that must not run twice while other targets have free slots. A target that hangs takes so many of them before
	// its runs are overdue.
	unansweredSlotsDivisor = 5
	// minUnansweredRuns is the minimum of that number. It is above the number of overdue runs that trips the breaker, and leaves
	// targets with few slots to the breaker.
	minUnansweredRuns = overdueThreshold + 1
)

// hasUnansweredRuns reports whether so many runs in flight began after the last success of the target that it may hang.
func (t *target) hasUnansweredRuns() bool {
	unanswered := 0
	for _, w := range t.running {
		if w.started >= t.lastSuccess {
			unanswered++
		}
	}
	return unanswered >= max(t.Slots/unansweredSlotsDivisor, minUnansweredRuns)
}
