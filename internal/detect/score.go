package detect

import "time"

// score returns the greatest sum, with the requests in flight and the probes, and the hypothesis that has it.
func (d *Detector) score() (float64, int) {
	best, at := 0.0, 0
	for i := range d.excursions {
		sum := d.scoreOf(i)
		if sum > best {
			best, at = sum, i
		}
	}
	return best, at
}

// scoreOf returns the sum of one hypothesis.
func (d *Detector) scoreOf(i int) float64 {
	sum := d.excursions[i].score + d.ratios[i].of(d.pending)
	if bank[i].rate == nearlyAll {
		sum += d.probes.score(d.threshold)
	}
	return sum
}

// check notes when the evidence passes the threshold. The target is suspected only after Baseline has compared the
// evidence with what the other targets saw in the same period.
func (d *Detector) check(now time.Duration) {
	best, _ := d.score()
	if best < d.threshold {
		d.waiting = false
		return
	}
	if !d.waiting {
		d.waiting = true
		d.crossed = now
	}
}

// Silence takes in the requests in flight. Those that do not progress count against the target for as long as they
// stay in flight without progress; each call replaces the one before.
func (d *Detector) Silence(now time.Duration, inFlight ...InFlight) {
	d.advance(now)
	d.pending = Counts{}
	for _, request := range inFlight {
		class := judgeInFlight(request, d.peerUsual[request.Route])
		if class == Silent || (class == Stalled && !request.Warming) {
			d.pending[class]++
		}
	}
	if d.phase == Healthy {
		d.check(now)
	}
}
