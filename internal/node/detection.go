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

// maxReportAge is the assumed maximum age of the cached reports of other targets: the interval at which records with only
// new counters are published, plus two rounds of gossip.
const maxReportAge = loadIntervalWithDetector + 2*time.Second

// detection runs a failure detector for each local target. It drives the package detect.
type detection struct {
	node *Node

	mu        sync.Mutex
	detectors map[model.TargetID]*detector
	// refusingTargets are the targets whose address has refused a connection since their last announcement.
	refusingTargets map[model.TargetID]bool
	peers           map[model.ServiceName]*detect.Peers
	cache           *reportCache
	// lastReportRequest is the time of the last request for reports to the other nodes of a service.
	lastReportRequest map[model.ServiceName]time.Duration
}

func newDetection(n *Node) *detection {
	return &detection{
		node:              n,
		detectors:         make(map[model.TargetID]*detector),
		refusingTargets:   make(map[model.TargetID]bool),
		cache:             newReportCache(),
		lastReportRequest: make(map[model.ServiceName]time.Duration),
		peers:             make(map[model.ServiceName]*detect.Peers),
	}
}

// observe processes the end of an attempt at a local target.
func (dt *detection) observe(o observation) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if o.result.ConnectionRefused && !dt.refusingTargets[o.target] {
		// A refused connection proves that the upstream's process has terminated, so no statistical test is needed. The
		// next announcement clears the mark.
		dt.refusingTargets[o.target] = true
		dt.node.control.wake()
	}
	d := dt.detectors[o.target]
	if d == nil {
		return
	}
	d.Observe(dt.node.clock.now(), detect.Outcome{
		Route:     detect.Route(o.route),
		Failed:    dt.isFailure(o),
		Reason:    reasonOf(o.result),
		FirstByte: o.result.FirstByte,
		ColdStart: o.coldStart,
		IsTrial:   o.isTrial,
	})
	if o.result.FirstByte > 0 {
		d.firstByte = smooth(d.firstByte, o.result.FirstByte)
	}
}

// recordAnnouncement records that the upstream is running.
func (dt *detection) recordAnnouncement(target model.TargetID) {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	delete(dt.refusingTargets, target)
}

// isFailure reports whether the outcome counts as a failure of the target.
func (dt *detection) isFailure(o observation) bool {
	switch o.result.Outcome {
	case upstream.Answered:
		return dt.isFailStatus(o)
	case upstream.Lost, upstream.Incomplete:
		// A reused connection may have been closed while idle; the next attempt gets a new one.
		return !o.result.Reused || o.result.Received
	case upstream.Unreachable, upstream.TimedOut:
		return o.result.Err != nil
	}
	return false
}

// defaultFailStatuses are the statuses that count as failures of the target on routes that declare none.
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

// smoothingDivisor sets the weight of a new value in a smoothed time to 1/smoothingDivisor.
const smoothingDivisor = 8

func smooth[T ~int64](old, value T) T {
	if old == 0 {
		return value
	}
	return old + (value-old)/smoothingDivisor
}

// step updates the detectors and returns the targets with the detectors' states and reports filled in.
func (dt *detection) step(targets []model.Target) []model.Target {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	if !dt.node.settings.Ejection.Detector {
		return dt.markRefusing(targets)
	}
	now := dt.node.clock.now()
	dt.updatePeers(now, targets)
	present := make(map[model.TargetID]bool, len(targets))
	awaiting := make(map[model.ServiceName]bool)
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		t.Missing = t.Missing || dt.refusingTargets[t.ID]
		d := dt.detectorOf(now, t)
		d.ObserveInFlight(now, dt.node.admitter.inFlightAt(t.ID)...)
		d.CompareWithPeers(now, t.ID, dt.peers[t.Service])
		state := d.State(now)
		dt.applyState(d, t, state)
		if state.AwaitingReports {
			awaiting[t.Service] = true
		}
	}
	dt.requestReports(now, awaiting)
	for id := range dt.detectors {
		if !present[id] {
			delete(dt.detectors, id)
		}
	}
	return targets
}

// markRefusing marks the targets whose address refuses connections as missing. It is used when the failure detector is off:
// then only the circuit breakers of the admission points restrict targets, no detector runs and no evidence is sent. dt.mu
// is held.
func (dt *detection) markRefusing(targets []model.Target) []model.Target {
	for i := range targets {
		targets[i].Missing = targets[i].Missing || dt.refusingTargets[targets[i].ID]
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

// updatePeers applies the reports of other nodes about the targets of the services that have local targets. dt.mu is held.
func (dt *detection) updatePeers(now time.Duration, local []model.Target) {
	services := make(map[model.ServiceName]bool)
	for _, t := range local {
		services[t.Service] = true
	}
	dt.cache.setServices(services)
	dt.cache.update(dt.node.distributor.Snapshot().Members, dt.node.self.ID)
	for name := range services {
		dt.updateServicePeers(now-maxReportAge, name)
	}
}

// updateServicePeers updates the peers of a service with its newest reports. dt.mu is held.
func (dt *detection) updateServicePeers(asOf time.Duration, name model.ServiceName) {
	reports := dt.cache.reports(name)
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

// requestReports requests reports from the other admitting nodes of the given services, whose evidence waits for a
// comparison with other targets. It returns immediately; the next step uses the responses.
func (dt *detection) requestReports(now time.Duration, awaiting map[model.ServiceName]bool) {
	for name := range awaiting {
		if last, ok := dt.lastReportRequest[name]; ok && now-last < detect.ReportRequestInterval {
			continue
		}
		dt.lastReportRequest[name] = now
		go dt.fetchServiceReports(now, name)
	}
}

func (dt *detection) fetchServiceReports(asOf time.Duration, name model.ServiceName) {
	reports := dt.node.fetchReports(name)
	dt.mu.Lock()
	defer dt.mu.Unlock()
	for _, report := range reports {
		dt.cache.add(name, report)
	}
	dt.updateServicePeers(asOf, name)
}

// reports returns the reports on the local targets of a service.
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

// applyState sets the report and the state of the detector in the target and logs a change of the phase. dt.mu is held.
func (dt *detection) applyState(d *detector, t *model.Target, state detect.State) {
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

// neededForFloor reports whether the target receives requests although it is suspected, because of the capacity floor.
func (dt *detection) neededForFloor(name model.ServiceName, target model.TargetID) bool {
	service := dt.node.acceptor.view.Load().Service(name)
	return service != nil && slices.Contains(service.Selection.Restored, target)
}

// decideTrial decides whether an attempt may run. A target in trial receives a few idempotent requests, one at a time.
func (dt *detection) decideTrial(target model.TargetID, idempotent bool) trialDecision {
	dt.mu.Lock()
	defer dt.mu.Unlock()
	d := dt.detectors[target]
	now := dt.node.clock.now()
	if d == nil || d.State(now).Phase != detect.InTrial || dt.neededForFloor(d.service, target) {
		return notInTrial
	}
	if d.BeginTrial(now, idempotent) {
		return trialGranted
	}
	return trialRefused
}
