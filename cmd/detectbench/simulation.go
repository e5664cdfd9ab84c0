package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/detect"
)

// warmUp is the minimum time before the onset. A random part of up to reportInterval is added to it.
const warmUp = 30 * time.Second

// simulation is a discrete-event simulation of one service with its targets and their detectors.
type simulation struct {
	scenario  scenario
	load      loadLevel
	rng       *rand.Rand
	detectors [targets]detector
	inFlight  [targets][]*request
	events    queue
	// explain is called with a line for each suspicion; nil means none.
	explain func(string)
	serial  uint64
	now     time.Duration
	onset   time.Duration
	// lastReportRequest holds the time of the last report request of each detector.
	lastReportRequest [targets]time.Duration
	// suspected holds the last observed state of each detector.
	suspected [targets]bool
	result    result
	// usable caches the usable targets for the state usableSuspected. free is the scratch buffer of pickTarget.
	usable          []int
	usableSuspected [targets]bool
	free            []int
	// outcomesSinceOnset counts the outcomes of target 0 for requests that were sent after the onset. evidenceComplete
	// means that its detector has enough evidence and waits for reports.
	outcomesSinceOnset int
	evidenceComplete   bool
}

// newSimulation returns a simulation before its first request. The random part of the onset keeps it from coinciding
// with the report collection.
func newSimulation(s scenario, load loadLevel, m method, seed uint64) *simulation {
	sim := &simulation{scenario: s, load: load, rng: rand.New(rand.NewPCG(seed, 0x5a9d))}
	for i := range sim.detectors {
		sim.detectors[i] = m.newDetector(i)
	}
	sim.onset = warmUp + time.Duration(sim.rng.Int64N(int64(reportInterval)))
	sim.result.detectionDelay = -1
	sim.push(event{at: sim.arrivalGap(), kind: arrival})
	sim.push(event{at: reportInterval, kind: reportCollection})
	sim.push(event{at: inFlightCheckInterval, kind: inFlightCheck})
	sim.push(event{at: healthProbeInterval, kind: healthProbe})
	return sim
}

func (sim *simulation) push(e event) {
	sim.serial++
	e.serial = sim.serial
	heap.Push(&sim.events, e)
}

func (sim *simulation) drawContext(target int) drawContext {
	return drawContext{rng: sim.rng, target: target, sinceOnset: sim.now - sim.onset}
}

// arrivalGap returns the time to the next arrival.
func (sim *simulation) arrivalGap() time.Duration {
	rate := sim.load.rate * targets
	if sim.scenario.loadFactor != nil {
		rate *= sim.scenario.loadFactor(sim.drawContext(0))
	}
	return time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
}

// run simulates until the end time, or until the failing target is suspected if stopAtFirst is set.
func (sim *simulation) run(end time.Duration, stopAtFirst bool) result {
	for {
		e := heap.Pop(&sim.events).(event)
		if e.at > end {
			break
		}
		sim.now = e.at
		if sim.handle(e) {
			sim.updateSuspected()
		}
		if stopAtFirst && sim.result.detectionDelay >= 0 {
			break
		}
	}
	sim.result.length = sim.now
	return sim.result
}

// handle processes one event. It reports whether the state of a detector may have changed.
func (sim *simulation) handle(e event) bool {
	switch e.kind {
	case arrival:
		sim.sendRequest()
		sim.push(event{at: sim.now + sim.arrivalGap(), kind: arrival})
		return false
	case completion:
		return sim.completeRequest(e.request)
	case reportCollection:
		sim.push(event{at: sim.now + reportDelay, kind: reportDelivery, reports: sim.collectReports()})
		sim.push(event{at: sim.now + reportInterval, kind: reportCollection})
		return false
	case reportDelivery:
		sim.deliverReports(e)
	case reportRequest:
		sim.requestReports(e)
	case inFlightCheck:
		sim.checkInFlight()
		sim.push(event{at: sim.now + inFlightCheckInterval, kind: inFlightCheck})
	case healthProbe:
		sim.healthProbe()
		sim.push(event{at: sim.now + healthProbeInterval, kind: healthProbe})
	}
	return true
}

// collectReports collects the reports of all targets.
func (sim *simulation) collectReports() *reportSet {
	s := &reportSet{asOf: sim.now}
	for _, d := range sim.detectors {
		s.reports = append(s.reports, d.report())
	}
	return s
}

// deliverReports delivers the reports of the event to all detectors.
func (sim *simulation) deliverReports(e event) {
	for _, d := range sim.detectors {
		d.compareWithPeers(sim.now, e.reports)
	}
}

// requestReports handles both steps of a report request: the first collects the reports at the other nodes, the second
// delivers them to the detector that requested them.
func (sim *simulation) requestReports(e event) {
	if e.reports == nil {
		sim.push(event{at: sim.now + reportRequestDelay, kind: reportRequest, target: e.target, reports: sim.collectReports()})
		return
	}
	sim.detectors[e.target].compareWithPeers(sim.now, e.reports)
}

func (sim *simulation) checkInFlight() {
	for i, d := range sim.detectors {
		seen := make([]detect.InFlight, len(sim.inFlight[i]))
		for k, r := range sim.inFlight[i] {
			seen[k] = r.inFlight(sim.now)
		}
		d.observeInFlight(sim.now, seen)
	}
}

func (sim *simulation) healthProbe() {
	for i, d := range sim.detectors {
		success := sim.scenario.healthProbe == nil || sim.scenario.healthProbe(sim.drawContext(i))
		d.observeHealthProbe(sim.now, success)
	}
}

// sendRequest sends a request to a target with a free slot.
func (sim *simulation) sendRequest() {
	target, trial := sim.pickTarget()
	if target < 0 {
		return
	}
	d := sim.scenario.draw(sim.drawContext(target))
	d.outcome.IsTrial = trial
	r := &request{target: target, sent: sim.now, outcome: d.outcome}
	sim.inFlight[target] = append(sim.inFlight[target], r)
	sim.push(event{at: sim.now + d.duration, kind: completion, request: r})
	sim.result.countRequest(sim.drawContext(target), d.outcome)
}

// completeRequest passes the outcome to the target's detector. It reports whether the state may have changed, which a
// prompt success of a target that is not suspected cannot cause.
func (sim *simulation) completeRequest(r *request) bool {
	if r.target == 0 && sim.now >= sim.onset && r.sent >= sim.onset {
		sim.outcomesSinceOnset++
	}
	inFlight := sim.inFlight[r.target]
	for i, candidate := range inFlight {
		if candidate == r {
			sim.inFlight[r.target] = append(inFlight[:i], inFlight[i+1:]...)
			break
		}
	}
	sim.detectors[r.target].observe(sim.now, r.outcome)
	return r.outcome.Failed || r.outcome.FirstByte > 2*pageFirstByte || sim.suspected[r.target]
}

// pickTarget chooses a usable target with a free slot at random. A target that accepts a trial request is chosen first.
// It returns -1 if no slot is free.
func (sim *simulation) pickTarget() (target int, trial bool) {
	for i := range sim.detectors {
		if sim.suspected[i] && sim.detectors[i].beginTrial(sim.now) {
			return i, true
		}
	}
	sim.free = sim.free[:0]
	for _, i := range sim.usableTargets() {
		if len(sim.inFlight[i]) < sim.load.slots {
			sim.free = append(sim.free, i)
			if i == 0 && sim.now >= sim.onset && sim.scenario.target0Factor > 1 {
				sim.free = append(sim.free, i)
			}
		}
	}
	if len(sim.free) == 0 {
		return -1, false
	}
	return sim.free[sim.rng.IntN(len(sim.free))], false
}

// usableTargets returns the targets that may receive requests. They change only when sim.suspected changes.
func (sim *simulation) usableTargets() []int {
	if sim.usable != nil && sim.usableSuspected == sim.suspected {
		return sim.usable
	}
	sim.usable, sim.usableSuspected = nil, sim.suspected
	for _, id := range capacity.Usable(sim.capacityTargets(), capacityFloorTargets*sim.load.slots).Use {
		sim.usable = append(sim.usable, targetIndex[id])
	}
	return sim.usable
}

func (sim *simulation) capacityTargets() []capacity.Target {
	all := make([]capacity.Target, targets)
	for i := range all {
		all[i] = capacity.Target{ID: targetIDs[i], Slots: sim.load.slots, RampSlots: sim.load.slots}
		if sim.suspected[i] {
			all[i].Reasons = capacity.Suspected
		}
	}
	return all
}

// recordEvidence records the amount of evidence against target 0 when its detector starts to wait for reports.
func (sim *simulation) recordEvidence() {
	if sim.now < sim.onset || sim.result.detectionDelay >= 0 {
		return
	}
	complete := sim.detectors[0].awaitsReports(sim.now)
	if complete == sim.evidenceComplete {
		return
	}
	sim.evidenceComplete = complete
	if complete {
		sim.result.evidence = sim.outcomesSinceOnset + countStalled(sim.inFlight[0], sim.now)
	}
}

// countStalled counts the requests that have been in flight for longer than stalledAfter.
func countStalled(inFlight []*request, now time.Duration) int {
	n := 0
	for _, r := range inFlight {
		if now-r.sent > stalledAfter {
			n++
		}
	}
	return n
}

// updateSuspected counts new suspicions and schedules report requests for the detectors that await reports.
func (sim *simulation) updateSuspected() {
	sim.recordEvidence()
	for i, d := range sim.detectors {
		suspected := d.isSuspected(sim.now)
		if suspected && !sim.suspected[i] {
			sim.result.countSuspicion(sim.scenario, sim.drawContext(i))
			if sim.explain != nil {
				sim.explain(fmt.Sprintf("%v: target %d: %s", sim.now-sim.onset, i, d.cause(sim.now)))
			}
		}
		sim.suspected[i] = suspected
		if !suspected && d.awaitsReports(sim.now) && sim.now-sim.lastReportRequest[i] >= detect.ReportRequestInterval {
			sim.lastReportRequest[i] = sim.now
			sim.push(event{at: sim.now + reportRequestDelay, kind: reportRequest, target: i})
		}
	}
}
