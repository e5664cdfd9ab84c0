package detect

// tally holds the counts of requests and health probes that are compared between targets.
type tally struct {
	requests     Counts
	healthProbes float64
	failedProbes float64
}

func (t tally) plus(o tally) tally {
	return tally{t.requests.Plus(o.requests), t.healthProbes + o.healthProbes, t.failedProbes + o.failedProbes}
}

func (t tally) times(f float64) tally {
	return tally{t.requests.Times(f), t.healthProbes * f, t.failedProbes * f}
}
