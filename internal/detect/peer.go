package detect

import "time"

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

// interval is what one peer saw between two updates.
type interval struct {
	end time.Duration
	tally
}

// peer is what is known of one target of the service.
type peer struct {
	last   Report
	recent [intervals]interval
	next   int
	long   tally
}

// firstWeight bounds the number of requests that the first report of a peer counts for; they may be long past.
const firstWeight = 100

// newPeer returns a peer with its first report. What it counts happened at an unknown time, so it is part of the long
// window only.
func newPeer(report Report) *peer {
	p := &peer{last: report}
	p.long = tally{report.Counts, report.Probes, report.ProbeFailures}
	if total := report.Counts.Total(); total > firstWeight {
		p.long = p.long.times(firstWeight / total)
	}
	return p
}

// update adds the difference to the last report.
func (p *peer) update(asOf time.Duration, decay float64, report Report) {
	delta := p.since(report)
	p.recent[p.next] = interval{end: asOf, tally: delta}
	p.next = (p.next + 1) % intervals
	p.long = p.long.times(decay).plus(delta)
	p.last = report
}

// since returns what happened since the last report. A smaller total means that the peer's detector started again.
func (p *peer) since(report Report) tally {
	delta := tally{report.Counts, report.Probes, report.ProbeFailures}
	if report.Counts.Total() < p.last.Counts.Total() || report.Probes < p.last.Probes {
		return delta
	}
	return delta.plus(tally{p.last.Counts, p.last.Probes, p.last.ProbeFailures}.times(-1))
}

// after returns what the peer saw after start, and false if start is older than the intervals that are kept apart.
func (p *peer) after(start time.Duration) (tally, bool) {
	var sum tally
	for _, one := range p.recent {
		if one.end > start {
			sum = sum.plus(one.tally)
		}
	}
	oldest := p.recent[p.next].end
	return sum, oldest <= start
}

// seen returns what the peer saw since start, or in the long window if start is too old.
func (p *peer) seen(start time.Duration) tally {
	sum, complete := p.after(start)
	if !complete {
		sum = p.long
	}
	return sum
}

// lately returns the peer's last outcomes with its requests in flight that do not progress.
func (p *peer) lately() Counts { return p.last.Recent.Plus(p.last.Pending) }
