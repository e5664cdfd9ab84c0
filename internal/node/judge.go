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

// judge holds the detector of each target beside this node. It is the shell around the package detect.
type judge struct {
	node *Node

	mu        sync.Mutex
	detectors map[model.TargetID]*detector
	// refused are the targets whose address has refused a connection since the last announcement.
	refused map[model.TargetID]bool
	peers   map[model.ServiceName]*detect.Peers
	book    *reportBook
	// asked is when the other nodes of a service were last asked for reports.
	asked map[model.ServiceName]time.Duration
}

func newJudge(n *Node) *judge {
	return &judge{
		node:      n,
		detectors: make(map[model.TargetID]*detector),
		refused:   make(map[model.TargetID]bool),
		book:      newReportBook(),
		asked:     make(map[model.ServiceName]time.Duration),
		peers:     make(map[model.ServiceName]*detect.Peers),
	}
}

// observe takes in the end of an attempt at a target beside this node.
func (j *judge) observe(o observation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o.result.Refused && !j.refused[o.target] {
		// The upstream's process is gone. That is a fact and needs no test; the next announcement ends it.
		j.refused[o.target] = true
		j.node.control.wake()
	}
	d := j.detectors[o.target]
	if d == nil {
		return
	}
	d.Observe(j.node.clock.now(), detect.Outcome{
		Route:     detect.Route(o.route),
		Failed:    j.failed(o),
		Reason:    reasonOf(o.result),
		FirstByte: o.result.FirstByte,
		Warming:   o.warming,
		Trial:     o.trial,
	})
	if o.result.FirstByte > 0 {
		d.firstByte = smooth(d.firstByte, o.result.FirstByte)
	}
}

// announced notes that the upstream lives.
func (j *judge) announced(target model.TargetID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.refused, target)
}

// failed reports whether the outcome counts against the target.
func (j *judge) failed(o observation) bool {
	switch o.result.Outcome {
	case upstream.Answered:
		return j.isFailStatus(o)
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

func (j *judge) isFailStatus(o observation) bool {
	statuses := defaultFailStatuses
	if service := j.node.acceptor.view.Load().Service(o.service); service != nil {
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

func smooth(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + (value-old)/smoothing
}

// step judges the targets and returns them with the judgement filled in.
func (j *judge) step(targets []model.Target) []model.Target {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.node.clock.now()
	j.updatePeers(now, targets)
	present := make(map[model.TargetID]bool, len(targets))
	waiting := make(map[model.ServiceName]model.TargetID)
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		t.Missing = t.Missing || j.refused[t.ID]
		d := j.detectorOf(now, t)
		d.Silence(now, j.node.admitter.progress(t.ID)...)
		d.Baseline(now, t.ID, j.peers[t.Service])
		state := d.State(now)
		j.note(d, t, state)
		if state.Waiting {
			waiting[t.Service] = t.ID
		}
	}
	j.askForReports(now, waiting)
	for id := range j.detectors {
		if !present[id] {
			delete(j.detectors, id)
		}
	}
	return targets
}

func (j *judge) detectorOf(now time.Duration, t *model.Target) *detector {
	policy := j.policyOf(t.Service)
	d := j.detectors[t.ID]
	if d == nil || d.service != t.Service {
		d = &detector{Detector: detect.New(policy, now), service: t.Service}
		j.detectors[t.ID] = d
	}
	d.SetPolicy(policy)
	return d
}

func (j *judge) policyOf(name model.ServiceName) declaration.Policy {
	if service := j.node.acceptor.view.Load().Service(name); service != nil {
		return service.Service.Policy
	}
	return declaration.Policy{}
}

// updatePeers takes over what the other nodes report about the targets of the services beside this node. j.mu is held.
func (j *judge) updatePeers(now time.Duration, own []model.Target) {
	services := make(map[model.ServiceName]bool)
	for _, t := range own {
		services[t.Service] = true
	}
	j.book.follow(services)
	j.book.take(j.node.distributor.Snapshot().Members, j.node.self.ID)
	for name := range services {
		j.updateService(now-reportDelay, name)
	}
}

// updateService gives the newest reports of a service to its peers. j.mu is held.
func (j *judge) updateService(asOf time.Duration, name model.ServiceName) {
	reports := j.book.of(name)
	for id, d := range j.detectors {
		if d.service == name {
			reports = append(reports, d.Report(id))
		}
	}
	if j.peers[name] == nil {
		j.peers[name] = detect.NewPeers()
	}
	j.peers[name].Update(asOf, reports)
}

// askForReports asks the other admitting nodes of the services whose evidence waits for what their targets saw. It
// returns at once; the answers count in the next step.
func (j *judge) askForReports(now time.Duration, waiting map[model.ServiceName]model.TargetID) {
	for name, target := range waiting {
		if last, ok := j.asked[name]; ok && now-last < detect.AskEvery {
			continue
		}
		j.asked[name] = now
		go j.ask(now, name, target)
	}
}

func (j *judge) ask(asOf time.Duration, name model.ServiceName, target model.TargetID) {
	answers := j.node.askReports(name, target)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, report := range answers {
		j.book.add(name, report)
	}
	j.updateService(asOf, name)
}

// reports returns the evidence about the targets of a service beside this node.
func (j *judge) reports(name model.ServiceName) *peerv1.ReportsResponse {
	j.mu.Lock()
	defer j.mu.Unlock()
	var reports []detect.Report
	for id, d := range j.detectors {
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
func (j *judge) note(d *detector, t *model.Target, state detect.State) {
	report := d.Report(t.ID)
	counts := report.Counts
	t.Report = encodeReport(report)
	t.Failures = uint64(counts[detect.Failed] + counts[detect.Silent])
	t.Successes = uint64(counts.Total()) - t.Failures
	t.FirstByte = d.firstByte
	t.Suspect = state.Phase != detect.Healthy
	t.Trial = state.Phase == detect.Trial
	if state.Phase == d.phase {
		return
	}
	switch {
	case state.Phase == detect.Suspect && state.Level > 1:
		j.node.log.Emit(events.TargetHeldDown, events.TargetField(t.ID), events.ServiceField(t.Service),
			events.CountField(state.Level), events.DurationField(state.HoldUntil-j.node.clock.now()))
	case state.Phase == detect.Suspect:
		j.node.log.Emit(events.TargetSuspected, events.TargetField(t.ID), events.ServiceField(t.Service))
	case state.Phase == detect.Healthy:
		j.node.log.Emit(events.TargetReturned, events.TargetField(t.ID), events.ServiceField(t.Service))
	}
	d.phase = state.Phase
}

// scores returns the evidence against each target.
func (j *judge) scores() map[model.TargetID]float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.node.clock.now()
	out := make(map[model.TargetID]float64, len(j.detectors))
	for id, d := range j.detectors {
		out[id] = d.State(now).Score
	}
	return out
}

// neededForFloor reports whether the target is in use in spite of the suspicion.
func (j *judge) neededForFloor(name model.ServiceName, target model.TargetID) bool {
	service := j.node.acceptor.view.Load().Service(name)
	return service != nil && slices.Contains(service.Selection.Restored, target)
}

// mayTry rules on an attempt. A target on trial gets a few idempotent requests, one at a time.
func (j *judge) mayTry(target model.TargetID, idempotent bool) trialRuling {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := j.detectors[target]
	now := j.node.clock.now()
	if d == nil || d.State(now).Phase != detect.Trial || j.neededForFloor(d.service, target) {
		return notOnTrial
	}
	if d.BeginTrial(now, idempotent) {
		return trialGranted
	}
	return trialRefused
}
