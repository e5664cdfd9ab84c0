package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/detect"
)

// warmUp is the time before a fault begins.
const warmUp = 30 * time.Second

// world is one service with its targets and judges.
type world struct {
	scenario scenario
	traffic  traffic
	rng      *rand.Rand
	judges   [targets]judge
	running  [targets][]*run
	events   queue
	// explain gets a line for each suspicion, unless it is nil.
	explain func(string)
	serial  uint64
	now     time.Duration
	onset   time.Duration
	// asked holds the time at which each judge last asked for reports.
	asked [targets]time.Duration
	// suspected holds what was last seen of each judge.
	suspected [targets]bool
	result    result
	// inUse holds the targets in use for the suspicions inUseFor; free is reused from pick to pick.
	inUse    []int
	inUseFor [targets]bool
	free     []int
	// observed counts the outcomes of target 0 since the onset; complete0 says that the evidence against it is complete.
	observed  int
	complete0 bool
}

// newWorld returns a service before its first request. The onset of the fault is not in step with the exchanges.
func newWorld(s scenario, t traffic, m method, seed uint64) *world {
	w := &world{scenario: s, traffic: t, rng: rand.New(rand.NewPCG(seed, 0x5a9d))}
	for i := range w.judges {
		w.judges[i] = m.make(i)
	}
	w.onset = warmUp + time.Duration(w.rng.Int64N(int64(exchangeEvery)))
	w.result.firstSuspected = -1
	w.push(event{at: w.gap(), kind: arrival})
	w.push(event{at: exchangeEvery, kind: exchange})
	w.push(event{at: watchEvery, kind: watch})
	w.push(event{at: probeEvery, kind: probing})
	return w
}

func (w *world) push(e event) {
	w.serial++
	e.serial = w.serial
	heap.Push(&w.events, e)
}

func (w *world) moment(target int) moment {
	return moment{rng: w.rng, target: target, since: w.now - w.onset}
}

// gap returns the time to the next arrival.
func (w *world) gap() time.Duration {
	rate := w.traffic.rate * targets
	if w.scenario.load != nil {
		rate *= w.scenario.load(w.moment(0))
	}
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

// until runs the trace to a time, or to the suspicion of the failing target if stopAtFirst is set.
func (w *world) until(end time.Duration, stopAtFirst bool) result {
	for {
		e := heap.Pop(&w.events).(event)
		if e.at > end {
			break
		}
		w.now = e.at
		if w.step(e) {
			w.look()
		}
		if stopAtFirst && w.result.firstSuspected >= 0 {
			break
		}
	}
	w.result.length = w.now
	return w.result
}

// step handles one event. It reports whether a judge may have changed its mind.
func (w *world) step(e event) bool {
	switch e.kind {
	case arrival:
		w.arrive()
		w.push(event{at: w.now + w.gap(), kind: arrival})
		return false
	case completion:
		return w.complete(e.run)
	case exchange:
		w.push(event{at: w.now + exchangeDelay, kind: answer, sight: w.sight()})
		w.push(event{at: w.now + exchangeEvery, kind: exchange})
		return false
	case answer:
		w.answer(e)
	case ask:
		w.ask(e)
	case watch:
		w.watch()
		w.push(event{at: w.now + watchEvery, kind: watch})
	case probing:
		w.probe()
		w.push(event{at: w.now + probeEvery, kind: probing})
	}
	return true
}

// sight collects the reports of all targets.
func (w *world) sight() *sight {
	s := &sight{asOf: w.now}
	for _, j := range w.judges {
		s.reports = append(s.reports, j.report())
	}
	return s
}

// answer delivers reports to the judges of all targets.
func (w *world) answer(e event) {
	for _, j := range w.judges {
		j.compare(w.now, e.sight)
	}
}

// ask collects reports at the other nodes, and then delivers them to the judge that asked.
func (w *world) ask(e event) {
	if e.sight == nil {
		w.push(event{at: w.now + askDelay, kind: ask, target: e.target, sight: w.sight()})
		return
	}
	w.judges[e.target].compare(w.now, e.sight)
}

func (w *world) watch() {
	for i, j := range w.judges {
		seen := make([]detect.InFlight, len(w.running[i]))
		for k, r := range w.running[i] {
			seen[k] = r.inFlight(w.now)
		}
		j.silence(w.now, seen)
	}
}

func (w *world) probe() {
	for i, j := range w.judges {
		success := w.scenario.probe == nil || w.scenario.probe(w.moment(i))
		j.probe(w.now, success)
	}
}

// arrive sends a request to a target with a free slot.
func (w *world) arrive() {
	target, trial := w.pick()
	if target < 0 {
		return
	}
	d := w.scenario.draw(w.moment(target))
	d.outcome.IsTrial = trial
	r := &run{target: target, sent: w.now, outcome: d.outcome}
	w.running[target] = append(w.running[target], r)
	w.push(event{at: w.now + d.takes, kind: completion, run: r})
	w.result.count(w.moment(target), d.outcome)
}

// complete gives an outcome to the target's judge. A prompt answer of a target in use changes no mind.
func (w *world) complete(r *run) bool {
	if r.target == 0 && w.now >= w.onset && r.sent >= w.onset {
		w.observed++
	}
	running := w.running[r.target]
	for i, one := range running {
		if one == r {
			w.running[r.target] = append(running[:i], running[i+1:]...)
			break
		}
	}
	w.judges[r.target].observe(w.now, r.outcome)
	return r.outcome.Failed || r.outcome.FirstByte > 2*pageFirstByte || w.suspected[r.target]
}

// pick chooses a target at random, and a target on trial before others. It returns -1 if no slot is free.
func (w *world) pick() (target int, trial bool) {
	for i := range w.judges {
		if w.suspected[i] && w.judges[i].tries(w.now) {
			return i, true
		}
	}
	w.free = w.free[:0]
	for _, i := range w.usable() {
		if len(w.running[i]) < w.traffic.slots {
			w.free = append(w.free, i)
			if i == 0 && w.now >= w.onset && w.scenario.extra > 1 {
				w.free = append(w.free, i)
			}
		}
	}
	if len(w.free) == 0 {
		return -1, false
	}
	return w.free[w.rng.IntN(len(w.free))], false
}

// usable returns the targets to use, which change only with the suspicions.
func (w *world) usable() []int {
	if w.inUse != nil && w.inUseFor == w.suspected {
		return w.inUse
	}
	w.inUse, w.inUseFor = nil, w.suspected
	for _, id := range capacity.Usable(w.capacity(), floorTargets*w.traffic.slots).Use {
		w.inUse = append(w.inUse, targetIndex[id])
	}
	return w.inUse
}

func (w *world) capacity() []capacity.Target {
	all := make([]capacity.Target, targets)
	for i := range all {
		all[i] = capacity.Target{ID: targetIDs[i], Slots: w.traffic.slots, RampSlots: w.traffic.slots}
		if w.suspected[i] {
			all[i].Reasons = capacity.Suspected
		}
	}
	return all
}

// noteEvidence keeps the evidence against target 0 from the time at which it became complete.
func (w *world) noteEvidence() {
	if w.now < w.onset || w.result.firstSuspected >= 0 {
		return
	}
	complete := w.judges[0].asks(w.now)
	if complete == w.complete0 {
		return
	}
	w.complete0 = complete
	if complete {
		w.result.evidence = w.observed + stuck(w.running[0], w.now)
	}
}

// stuck counts the requests that have been in flight for longer than a healthy target takes.
func stuck(running []*run, now time.Duration) int {
	n := 0
	for _, r := range running {
		if now-r.sent > stuckAfter {
			n++
		}
	}
	return n
}

// look notes new suspicions and asks for reports where a judge wants them.
func (w *world) look() {
	w.noteEvidence()
	for i, j := range w.judges {
		suspected := j.suspects(w.now)
		if suspected && !w.suspected[i] {
			w.result.suspicion(w.scenario, w.moment(i))
			if w.explain != nil {
				w.explain(fmt.Sprintf("%v: target %d: %s", w.now-w.onset, i, j.cause(w.now)))
			}
		}
		w.suspected[i] = suspected
		if !suspected && j.asks(w.now) && w.now-w.asked[i] >= detect.ReportRequestInterval {
			w.asked[i] = w.now
			w.push(event{at: w.now + askDelay, kind: ask, target: i})
		}
	}
}
