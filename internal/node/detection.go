package node

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// reportDelay is how old the reports of other targets may be: the interval of their records and two rounds of the
// exchange.
const reportDelay = loadInterval + 2*time.Second

// detection holds the detector of each target beside this node. It drives the package detect.
type detection struct {
	node *Node

	mu        sync.Mutex
	detectors map[model.TargetID]*detector
	// refused are the targets whose address has refused a connection since the last announcement.
	refused map[model.TargetID]bool
	peers   map[model.ServiceName]*detect.Peers
	cache   *reportCache
	// asked is when the other nodes of a service were last asked for reports.
	asked map[model.ServiceName]time.Duration
}

func newDetection(n *Node) *detection {
	return &detection{
		node:      n,
		detectors: make(map[model.TargetID]*detector),
		refused:   make(map[model.TargetID]bool),
		cache:     newReportCache(),
		asked:     make(map[model.ServiceName]time.Duration),
		peers:     make(map[model.ServiceName]*detect.Peers),
	}
}

// observe takes in the end of an attempt at a target beside this node.
func (dt *detection) observe(o observation) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if o.result.ConnectionRefused && !dt.refused[o.target] {
		// The upstream's process is gone. That is a fact and needs no test; the next announcement ends it.
		dt.refused[o.target] = true
		dt.node.control.wake()
	}
	d := dt.detectors[o.target]
	if d == nil {
		return
	}
	d.Observe(dt.node.clock.now(), detect.Outcome{
		Route:     detect.Route(o.route),
		Failed:    dt.failed(o),
		Reason:    reasonOf(o.result),
		FirstByte: o.result.FirstByte,
		ColdStart: o.warming,
		IsTrial:   o.trial,
	})
	if o.result.FirstByte > 0 {
		d.firstByte = smooth(d.firstByte, o.result.FirstByte)
	}
}

// announced notes that the upstream lives.
func (dt *detection) announced(target model.TargetID) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	delete(dt.refused, target)
}

// failed reports whether the outcome counts against the target.
func (dt *detection) failed(o observation) bool {
	switch o.result.Outcome {
	case upstream.Answered:
		return dt.isFailStatus(o)
	case upstream.Lost, upstream.Incomplete:
		// A reused connection may have been closed while idle; the next attempt gets a new one.
		return !o.result.Reused
	case upstream.Unreachable, upstream.TimedOut:
		return o.result.Err != nil
	}
	return false
}

// defaultFailStatuses count against the target on routes that name none.
var defaultFailStatuses = []int{500, 502, 503, 504}

func (dt *detection) isFailStatus(o observation) bool {
	statuses := defaultFailStatuses
	if service := dt.node.acceptor.view.Load().Service(o.service); service != nil {
		for i := range service.Service.Routes {
			route := &service.Service.Routes[i]
			if route.Path == o.route && len(route.FailStatuses) > 0 {
				statuses = route.FailStatuses
			}
		}
	}
	for _, status := range statuses {
		if status == o.result.Status {
			return true
		}
	}
	return false
}

func reasonOf(result upstream.Result) verdict.Reason {
	if e := errorOf(result); e != nil {
		return e.Reason
	}
	return ""
}

// smoothing is the weight of a new value in a smoothed time.
const smoothing = 8

func smooth[T ~int64](old, value T) T {
	if old == 0 {
		return value
	}
	return old + (value-old)/smoothing
}

// step judges the targets and returns them with the judgement filled in.
func (dt *detection) step(targets []model.Target) []model.Target {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if !dt.node.settings.Ejection.Detector {
		return dt.noteRefused(targets)
	}
	now := dt.node.clock.now()
	dt.updatePeers(now, targets)
	present := make(map[model.TargetID]bool, len(targets))
	waiting := make(map[model.ServiceName]bool)
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		t.Missing = t.Missing || dt.refused[t.ID]
		d := dt.detectorOf(now, t)
		d.ObserveInFlight(now, dt.node.admitter.progress(t.ID)...)
		d.CompareWithPeers(now, t.ID, dt.peers[t.Service])
		state := d.State(now)
		dt.note(d, t, state)
		if state.AwaitingReports {
			waiting[t.Service] = true
		}
	}
	dt.askForReports(now, waiting)
	for id := range dt.detectors {
		if !present[id] {
			delete(dt.detectors, id)
		}
	}
	return targets
}

// noteRefused marks the targets whose address refuses connections. Without the detector the admission points judge their
// targets alone, so that no detector runs and no evidence is sent. dt.mu is held.
func (dt *detection) noteRefused(targets []model.Target) []model.Target {
	for i := range targets {
		targets[i].Missing = targets[i].Missing || dt.refused[targets[i].ID]
	}
	return targets
}

func (dt *detection) detectorOf(now time.Duration, t *model.Target) *detector {
	policy := dt.policyOf(t.Service)
	d := dt.detectors[t.ID]
	if d == nil || d.service != t.Service {
		d = &detector{Detector: detect.New(policy, now), service: t.Service}
		dt.detectors[t.ID] = d
	}
	d.SetPolicy(policy)
	return d
}

func (dt *detection) policyOf(name model.ServiceName) declaration.Policy {
	if service := dt.node.acceptor.view.Load().Service(name); service != nil {
		return service.Service.Policy
	}
	return declaration.Policy{}
}

// updatePeers takes over what the other nodes report about the targets of the services beside this node. dt.mu is held.
func (dt *detection) updatePeers(now time.Duration, own []model.Target) {
	services := make(map[model.ServiceName]bool)
	for _, t := range own {
		services[t.Service] = true
	}
	dt.cache.follow(services)
	dt.cache.take(dt.node.distributor.Snapshot().Members, dt.node.self.ID)
	for name := range services {
		dt.updateService(now-reportDelay, name)
	}
}

// updateService gives the newest reports of a service to its peers. dt.mu is held.
func (dt *detection) updateService(asOf time.Duration, name model.ServiceName) {
	reports := dt.cache.of(name)
	for id, d := range dt.detectors {
		if d.service == name {
			reports = append(reports, d.Report(id))
		}
	}
	if dt.peers[name] == nil {
		dt.peers[name] = detect.NewPeers()
	}
	dt.peers[name].Update(asOf, reports)
}

// askForReports asks the other admitting nodes of the services whose evidence waits for what their targets saw. It
// returns at once; the answers count in the next step.
func (dt *detection) askForReports(now time.Duration, waiting map[model.ServiceName]bool) {
	for name := range waiting {
		if last, ok := dt.asked[name]; ok && now-last < detect.ReportRequestInterval {
			continue
		}
		dt.asked[name] = now
		go dt.ask(now, name)
	}
}

func (dt *detection) ask(asOf time.Duration, name model.ServiceName) {
	answers := dt.node.askReports(name)
	dt.mu.Lock()
	defer dt.mu.Unlock()
	for _, report := range answers {
		dt.cache.add(name, report)
	}
	dt.updateService(asOf, name)
}

// reports returns the evidence about the targets of a service beside this node.
func (dt *detection) reports(name model.ServiceName) *peerv1.ReportsResponse {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	var reports []detect.Report
	for id, d := range dt.detectors {
		if d.service == name {
			reports = append(reports, d.Report(id))
		}
	}
	data, err := json.Marshal(reports)
	if err != nil {
		return &peerv1.ReportsResponse{}
	}
	return &peerv1.ReportsResponse{Reports: data}
}

// note fills the judgement into the target and logs its change.
func (dt *detection) note(d *detector, t *model.Target, state detect.State) {
	report := d.Report(t.ID)
	counts := report.Counts
	t.Report = encodeReport(report)
	t.Failures = uint64(counts[detect.Failed] + counts[detect.Unresponsive])
	t.Successes = uint64(counts.Total()) - t.Failures
	t.FirstByte = d.firstByte
	t.Suspected = state.Phase != detect.Healthy
	t.InTrial = state.Phase == detect.InTrial
	if state.Phase == d.phase {
		return
	}
	switch {
	case state.Phase == detect.Suspected && state.Level > 1:
		dt.node.log.Emit(events.TargetHeldDown, events.TargetField(t.ID), events.ServiceField(t.Service),
			events.CountField(state.Level), events.DurationField(state.HoldDownUntil-dt.node.clock.now()))
	case state.Phase == detect.Suspected:
		dt.node.log.Emit(events.TargetSuspected, events.TargetField(t.ID), events.ServiceField(t.Service))
	case state.Phase == detect.Healthy:
		dt.node.log.Emit(events.TargetReturned, events.TargetField(t.ID), events.ServiceField(t.Service))
	}
	d.phase = state.Phase
}

// scores returns the evidence against each target.
func (dt *detection) scores() map[model.TargetID]float64 {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	now := dt.node.clock.now()
	out := make(map[model.TargetID]float64, len(dt.detectors))
	for id, d := range dt.detectors {
		out[id] = d.State(now).Score
	}
	return out
}

// neededForFloor reports whether the target is in use in spite of the suspicion.
func (dt *detection) neededForFloor(name model.ServiceName, target model.TargetID) bool {
	service := dt.node.acceptor.view.Load().Service(name)
	return service != nil && slices.Contains(service.Selection.Restored, target)
}

// mayTry rules on an attempt. A target on trial gets a few idempotent requests, one at a time.
func (dt *detection) mayTry(target model.TargetID, idempotent bool) trialRuling {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	d := dt.detectors[target]
	now := dt.node.clock.now()
	if d == nil || d.State(now).Phase != detect.InTrial || dt.neededForFloor(d.service, target) {
		return notOnTrial
	}
	if d.BeginTrial(now, idempotent) {
		return trialGranted
	}
	return trialRefused
}
