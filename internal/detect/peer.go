package detect

import "time"

// peer is what is known of one target of the service.
type peer struct {
	last Report
	asOf time.Duration
	// recent holds what the peer saw, oldest first. Intervals that are long past are merged.
	recent []interval
	long   tally
}

// firstWeight bounds the number of requests that the first report of a peer counts for; they may be long past.
const firstWeight = 100

// newPeer returns a peer with its first report. What it counts happened at an unknown time, so it is part of the long
// window only.
func newPeer(asOf time.Duration, report Report) *peer {
	p := &peer{last: report, asOf: asOf}
	p.long = tally{report.Counts, report.Probes, report.ProbeFailures}
	if total := report.Counts.Total(); total > firstWeight {
		p.long = p.long.times(firstWeight / total)
	}
	return p
}

// update adds the difference to the last report.
func (p *peer) update(asOf time.Duration, decay float64, report Report) {
	delta := p.since(report)
	p.recent = append(p.recent, interval{begin: p.asOf, end: asOf, tally: delta})
	p.shorten(asOf)
	p.long = p.long.times(decay).plus(delta)
	p.last, p.asOf = report, asOf
}

// since returns what happened since the last report. A smaller total means that the peer's detector started again.
func (p *peer) since(report Report) tally {
	delta := tally{report.Counts, report.Probes, report.ProbeFailures}
	if report.Counts.Total() < p.last.Counts.Total() || report.Probes < p.last.Probes {
		return delta
	}
	return delta.plus(tally{p.last.Counts, p.last.Probes, p.last.ProbeFailures}.times(-1))
}

// seen returns what the peer saw since start. Intervals of which a part is older count as a whole.
func (p *peer) seen(start time.Duration) tally {
	var sum tally
	for i := len(p.recent) - 1; i >= 0 && p.recent[i].end > start; i-- {
		sum = sum.plus(p.recent[i].tally)
	}
	return sum
}

// lately returns the peer's last outcomes with its requests in flight that do not progress.
func (p *peer) lately() Counts { return p.last.Recent.Plus(p.last.Pending) }
