package detect

// tally holds the counts that are compared between targets.
type tally struct {
	work          Counts
	probes        float64
	probeFailures float64
}

func (t tally) plus(o tally) tally {
	return tally{t.work.Plus(o.work), t.probes + o.probes, t.probeFailures + o.probeFailures}
}

func (t tally) times(f float64) tally {
	return tally{t.work.Times(f), t.probes * f, t.probeFailures * f}
}
