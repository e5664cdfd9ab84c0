package detect

import "time"

// peer holds the reported data about one target of the service.
type peer struct {
	lastReport Report
	asOf       time.Duration
	// recent holds the counts of the peer by interval, oldest first. Older intervals are merged.
	recent   []interval
	longTerm tally
}

// firstReportWeight limits the weight of a peer's first report, as a number of requests, because its counts may be old.
const firstReportWeight = 100

// newPeer returns a peer with its first report. The time of the counted requests is unknown, so they are added only to
// the long-term counts.
func newPeer(asOf time.Duration, report Report) *peer {
	p := &peer{lastReport: report, asOf: asOf}
	p.longTerm = tally{report.Counts, report.HealthProbes, report.HealthProbeFailures}
	if total := report.Counts.Total(); total > firstReportWeight {
		p.longTerm = p.longTerm.times(firstReportWeight / total)
	}
	return p
}

// update adds the difference between the report and the last one.
func (p *peer) update(asOf time.Duration, decay float64, report Report) {
	delta := p.deltaTo(report)
	p.recent = append(p.recent, interval{begin: p.asOf, end: asOf, tally: delta})
	p.compact(asOf)
	p.longTerm = p.longTerm.times(decay).plus(delta)
	p.lastReport, p.asOf = report, asOf
}

// deltaTo returns the counts between the last report and the given one. A smaller total means that the peer's detector
// restarted; then all counts of the report are new.
func (p *peer) deltaTo(report Report) tally {
	delta := tally{report.Counts, report.HealthProbes, report.HealthProbeFailures}
	if report.Counts.Total() < p.lastReport.Counts.Total() || report.HealthProbes < p.lastReport.HealthProbes {
		return delta
	}
	return delta.plus(tally{p.lastReport.Counts, p.lastReport.HealthProbes, p.lastReport.HealthProbeFailures}.times(-1))
}

// observedSince returns the counts of the peer since start. An interval that began before start is counted in full.
func (p *peer) observedSince(start time.Duration) tally {
	var sum tally
	for i := len(p.recent) - 1; i >= 0 && p.recent[i].end > start; i-- {
		sum = sum.plus(p.recent[i].tally)
	}
	return sum
}

// recentOutcomes returns the peer's last outcomes and its requests in flight without progress.
func (p *peer) recentOutcomes() Counts { return p.lastReport.Recent.Plus(p.lastReport.Pending) }
