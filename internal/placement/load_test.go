package placement_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// The simulated service: 30% of its targets hang at any time, each for a whole window.
const (
	simTargets    = 9
	simSlots      = 3
	simQueueLimit = 32
	simDuration   = 120 * time.Second
	hangWindow    = 12 * time.Second
	hangShare     = 0.3
	hangFailures  = 0.9
	runSpread     = 0.3
	longRun       = 300 * time.Millisecond
	longObjective = time.Second
	longDeadline  = 4 * time.Second
	shortRun      = 60 * time.Millisecond
	shortDeadline = 800 * time.Millisecond
	expireEvery   = 50 * time.Millisecond
	// failTime is the time after which a target that fails at once ends a request.
	failTime = 2 * time.Millisecond
	// simRequestBytes is the size of a request with its response.
	simRequestBytes = 4 << 10
	// publishInterval is the interval at which the accepting nodes receive load updates of the targets.
	publishInterval = 200 * time.Millisecond
	// simDomains is the number of failure domains if targets are in several domains: two in each of two regions.
	simDomains = 4
)

// policy is a variant of target selection and admission.
type policy struct {
	name string
	// usesPlan means that the request follows its plan. Otherwise it queues at a random target.
	usesPlan bool
	// hasObjective means that admission requests carry the latency objective. Otherwise only the deadline bounds queues, and
	// overdue runs are not detected.
	hasObjective bool
	// fails means that targets fail requests in place of hanging: after failTime, or with failsLate after the usual run time.
	fails, failsLate bool
	// spreads means that non-idempotent requests try the targets in a random order.
	spreads bool
	// multiDomain means that the targets are in several failure domains, sharesLoads that accepting nodes receive load
	// updates.
	multiDomain, sharesLoads bool
}

// tally counts request outcomes.
type tally struct {
	total, inTime, late, refused, failed int
	// lateRefusals counts refusals that came after half of the objective.
	lateRefusals int
	// crossDomainRefusals counts refused admission requests in other failure domains.
	crossDomainRefusals int
}

func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.total) }

type simEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation simulates one service under load.
type simulation struct {
	policy policy
	random *rand.Rand
	now    time.Duration
	events eventQueue
	points map[model.TargetID]*admission.Point
	// pools holds the targets as candidates for the accepting nodes of each failure domain.
	pools   []*routing.Pool
	waiting map[model.AttemptID]*simRequest
	running map[model.AttemptID]*simRequest
	serial  uint64
	long    tally
	short   tally
}

// simRequest is one caller's request.
type simRequest struct {
	sim        *simulation
	short      bool
	domain     int
	distance   routing.Distance
	arrived    time.Duration
	plan       *placement.Plan
	target     model.TargetID
	attempt    model.AttemptID
	idempotent bool
	done       bool
}

func newSimulation(p policy, seed uint64) *simulation {
	s := &simulation{
		policy: p, random: rand.New(rand.NewPCG(seed, 1)), points: make(map[model.TargetID]*admission.Point),
		waiting: make(map[model.AttemptID]*simRequest), running: make(map[model.AttemptID]*simRequest),
	}
	domains := 1
	if p.multiDomain {
		domains = simDomains
	}
	candidates := make([][]*routing.Candidate, domains)
	for i := range simTargets {
		id := model.TargetID(string(rune('a' + i)))
		limits := admission.DefaultLimits()
		limits.QueuePerTarget = simQueueLimit
		s.points[id] = admission.NewPoint(limits, 1)
		for domain := range domains {
			candidates[domain] = append(candidates[domain], &routing.Candidate{
				Target:   model.Target{ID: id, Slots: simSlots, RampSlots: simSlots},
				Distance: simDistance(domain, i%domains), Load: new(routing.Load),
			})
		}
	}
	for domain := range domains {
		s.pools = append(s.pools, routing.NewPool(candidates[domain]))
	}
	return s
}

func simDistance(a, b int) routing.Distance {
	switch {
	case a == b:
		return routing.SameDomain
	case a/2 == b/2:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// publishLoads sends the load of all targets to the accepting nodes.
func (s *simulation) publishLoads() {
	for _, pool := range s.pools {
		for candidate := range pool.All {
			if load, ok := s.points[candidate.Target.ID].LoadOf(candidate.Target.ID); ok {
				candidate.Load.Update(toTargetLoad(load, s.now))
			}
		}
	}
	if s.now <= simDuration+longDeadline {
		s.schedule(publishInterval, s.publishLoads)
	}
}

func toTargetLoad(load admission.Load, now time.Duration) model.TargetLoad {
	targetLoad := model.TargetLoad{Wait: load.ExpectedWait, RequiredSuccesses: load.RequiredSuccesses, At: now}
	if load.Queued == 0 {
		targetLoad.Free = max(load.Slots-load.InFlight, 0)
	}
	return targetLoad
}

func (s *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: s.now + d, do: do})
}

// isHanging reports whether the target hangs in the current window.
func (s *simulation) isHanging(id model.TargetID) bool {
	window := uint64(s.now / hangWindow)
	return rand.New(rand.NewPCG(window, uint64(id[0]))).Float64() < hangShare
}

// run simulates the load until no events are left. Requests that arrive after the first window are counted.
func (s *simulation) run(longPerSecond, shortPerSecond float64) {
	s.scheduleArrivals(longPerSecond, false)
	s.scheduleArrivals(shortPerSecond, true)
	s.tick()
	if s.policy.sharesLoads {
		s.publishLoads()
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) scheduleArrivals(perSecond float64, short bool) {
	next := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.schedule(next, func() {
		if s.now > simDuration {
			return
		}
		(&simRequest{sim: s, short: short, idempotent: short, arrived: s.now, domain: s.random.IntN(len(s.pools))}).begin()
		s.scheduleArrivals(perSecond, short)
	})
}

func (s *simulation) tick() {
	for id, point := range s.points {
		_ = point.Announce(s.now, admission.Announcement{
			Service: "s", Target: id, Address: "x", Slots: simSlots, Phase: model.PhaseReady,
		})
		s.handleEvents(point.Expire(s.now))
	}
	if s.now <= simDuration+longDeadline {
		s.schedule(expireEvery, s.tick)
	}
}

func (s *simulation) handleEvents(events []admission.Event) {
	for _, e := range events {
		r := s.waiting[e.Attempt]
		if r == nil {
			continue
		}
		switch e.Kind {
		case admission.EventGranted:
			delete(s.waiting, e.Attempt)
			r.run()
		case admission.EventRefused:
			delete(s.waiting, e.Attempt)
			r.handleRefusal(e.Err, admission.Load{})
		}
	}
}

func (r *simRequest) deadline() time.Duration {
	if r.short {
		return r.arrived + shortDeadline
	}
	return r.arrived + longDeadline
}

func (r *simRequest) tally() *tally {
	if r.short {
		return &r.sim.short
	}
	return &r.sim.long
}

// begin creates the plan of the request and sends the first admission request.
func (r *simRequest) begin() {
	s := r.sim
	rq := placement.Request{Idempotent: r.idempotent || s.policy.spreads, Objective: longObjective, Bytes: simRequestBytes}
	r.plan = placement.New(s.pools[r.domain], new(routing.Tried), rq, s.now, s.random)
	r.tryNext()
}

func (r *simRequest) tryNext() {
	s := r.sim
	choice, ok := r.plan.Next()
	if !s.policy.usesPlan {
		choice.Mode, ok = placement.Queue, r.attempt == ""
	}
	if !ok {
		r.finish(func(t *tally) {
			t.refused++
			if s.now-r.arrived > longObjective/2 {
				t.lateRefusals++
			}
		})
		return
	}
	s.serial++
	r.distance = choice.Candidate.Distance
	r.attempt, r.target = model.NewAttemptID("n", 1, s.serial), choice.Candidate.Target.ID
	d := s.points[r.target].Admit(s.now, r.admissionRequest(choice.Mode))
	switch d.Kind {
	case admission.Admitted:
		r.run()
	case admission.Queued:
		s.waiting[r.attempt] = r
	default:
		r.handleRefusal(d.Err, d.Load)
	}
	s.handleEvents(s.points[r.target].Events())
}

func (r *simRequest) admissionRequest(mode placement.Mode) admission.Request {
	request := admission.Request{
		Attempt: r.attempt, Service: "s", Target: r.target, Idempotent: r.idempotent, Incarnation: 1,
		AdmitBefore: r.deadline(), Deadline: r.deadline(), Route: "long",
		IdleOnly: mode == placement.IdleOnly || mode == placement.LastResort, LastResort: mode == placement.LastResort,
	}
	objective := longObjective
	if r.short {
		request.Route, objective = "short", shortDeadline/3
	}
	if r.sim.policy.hasObjective {
		request.Objective, request.ObjectiveRemaining = objective, objective-(r.sim.now-r.arrived)
	}
	return request
}

func (r *simRequest) handleRefusal(err *verdict.Error, load admission.Load) {
	if r.distance != routing.SameDomain && r.arrived >= hangWindow {
		r.tally().crossDomainRefusals++
	}
	r.plan.RecordRefusal(placement.Refusal{Full: err.Reason == verdict.SlotsFull, Free: toTargetLoad(load, 0).Free, Wait: load.ExpectedWait, RequiredSuccesses: load.RequiredSuccesses})
	r.tryNext()
}

// run runs the admitted attempt. At a target that hangs, most runs last until their deadline.
func (r *simRequest) run() {
	s, attempt, target := r.sim, r.attempt, r.target
	duration := longRun
	if r.short {
		duration = shortRun
	}
	duration = time.Duration(float64(duration) * math.Exp(runSpread*s.random.NormFloat64()))
	hung := s.isHanging(target) && s.random.Float64() < hangFailures
	remaining := r.deadline() - s.now
	if hung || duration > remaining {
		duration, hung = remaining, true
	}
	if hung && s.policy.fails {
		duration = s.failDuration(duration)
	}
	s.schedule(duration, func() {
		result := admission.Result{Outcome: admission.Answered}
		switch {
		case hung && s.policy.fails:
			result.Failed = true
		case hung:
			result = admission.Result{Outcome: admission.Lost, Failed: true}
		}
		for _, g := range s.points[target].Finish(s.now, attempt, result) {
			if waiting := s.waiting[g.Attempt]; waiting != nil {
				delete(s.waiting, g.Attempt)
				waiting.run()
			}
		}
		s.handleEvents(s.points[target].Events())
		r.finish(func(t *tally) {
			switch {
			case hung:
				t.failed++
			case s.now-r.arrived <= longObjective:
				t.inTime++
			default:
				t.late++
			}
		})
	})
}

// failDuration returns the run time of a request at a target that fails at once.
func (s *simulation) failDuration(usual time.Duration) time.Duration {
	if s.policy.failsLate {
		return min(usual, longRun)
	}
	return failTime
}

// finish counts the outcome of a request that arrived after the first window.
func (r *simRequest) finish(count func(*tally)) {
	if r.done || r.arrived < hangWindow {
		return
	}
	r.done = true
	r.tally().total++
	count(r.tally())
}

func simulateLoad(t *testing.T, p policy, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	return simulateSeed(t, p, 7, longPerSecond, shortPerSecond)
}

func simulateSeed(t *testing.T, p policy, seed uint64, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	s := newSimulation(p, seed)
	s.run(longPerSecond, shortPerSecond)
	t.Logf("%-30s long %+v short %+v", p.name, s.long, s.short)
	return s.long, s.short
}

func (t *tally) add(other tally) {
	t.total += other.total
	t.inTime += other.inTime
	t.failed += other.failed
	t.crossDomainRefusals += other.crossDomainRefusals
}

var (
	randomTarget       = policy{name: "random target, own queue"}
	planned            = policy{name: "plan, latency objective", usesPlan: true, hasObjective: true}
	withLoadUpdates    = policy{name: "plan, several domains, load updates", usesPlan: true, hasObjective: true, multiDomain: true, sharesLoads: true}
	withoutLoadUpdates = policy{name: "plan, several domains, no updates", usesPlan: true, hasObjective: true, multiDomain: true}
	unboundedQueues    = policy{name: "plan, queues bound by deadline", usesPlan: true}
)

// healthyCapacity is the number of long runs per second that the targets that do not hang can serve.
const healthyCapacity = simTargets * simSlots * (1 - hangShare) / 0.3

// Guards against non-idempotent requests lost at targets that hang. The load is half of what the healthy targets can serve.
func TestHangingTargetsLoseFewRequests(t *testing.T) {
	before, _ := simulateLoad(t, randomTarget, healthyCapacity/2, 20)
	now, _ := simulateLoad(t, planned, healthyCapacity/2, 20)
	if lost, lostBefore := now.total-now.inTime, before.total-before.inTime; 3*lost > lostBefore {
		t.Errorf("%d requests are not served in time, want at most a third of the %d at random targets", lost, lostBefore)
	}
}

// Guards against queues that delay responses or refusals under sustained overload, and against short requests starved by
// long ones. The load is one and a half times what the healthy targets can serve.
func TestOverloadIsServedInTime(t *testing.T) {
	unbounded, _ := simulateLoad(t, unboundedQueues, 1.5*healthyCapacity, 20)
	long, short := simulateLoad(t, planned, 1.5*healthyCapacity, 20)
	if long.inTimeShare() <= unbounded.inTimeShare() {
		t.Errorf("%.2f served in time with bounded queues, %.2f without", long.inTimeShare(), unbounded.inTimeShare())
	}
	if long.late > long.inTime/4 {
		t.Errorf("%d late responses, %d in time", long.late, long.inTime)
	}
	if short.inTimeShare() < long.inTimeShare() {
		t.Errorf("short requests: %.2f in time, long ones %.2f", short.inTimeShare(), long.inTimeShare())
	}
	if long.lateRefusals > long.refused/4 {
		t.Errorf("%d of %d refusals are late", long.lateRefusals, long.refused)
	}
}

// Guards against requests that try one failure domain after the other although load updates show where slots are free. The
// load is nine tenths of what the healthy targets can serve, from four failure domains.
func TestLoadUpdatesReduceCrossDomainRefusals(t *testing.T) {
	var before, beforeShort, now, nowShort tally
	for seed := range uint64(8) {
		long, short := simulateSeed(t, withoutLoadUpdates, seed, 0.9*healthyCapacity, 20)
		before.add(long)
		beforeShort.add(short)
		long, short = simulateSeed(t, withLoadUpdates, seed, 0.9*healthyCapacity, 20)
		now.add(long)
		nowShort.add(short)
	}
	if refusals, refusalsBefore := now.crossDomainRefusals+nowShort.crossDomainRefusals, before.crossDomainRefusals+beforeShort.crossDomainRefusals; 3*refusals > refusalsBefore {
		t.Errorf("%d refused admission requests in other failure domains, want at most a third of the %d without load updates", refusals, refusalsBefore)
	}
	if now.inTimeShare() < before.inTimeShare() || nowShort.inTimeShare() < beforeShort.inTimeShare() {
		t.Errorf("served in time: long %.3f, short %.3f; without load updates %.3f and %.3f",
			now.inTimeShare(), nowShort.inTimeShare(), before.inTimeShare(), beforeShort.inTimeShare())
	}
}

// lostWhereTargetsFail returns the share of non-idempotent requests that are lost at targets that fail at once. The load is a tenth
// of what the healthy targets can serve.
func lostWhereTargetsFail(t *testing.T, p policy) float64 {
	t.Helper()
	var all tally
	for seed := range uint64(8) {
		long, _ := simulateSeed(t, p, seed, healthyCapacity/10, 5)
		all.add(long)
	}
	return float64(all.failed) / float64(all.total)
}

// Guards against more non-idempotent requests lost at targets that have just begun to fail requests at once, because their breakers
// trip on the second failure only.
func TestTargetsThatFailAtOnceLoseFewRequests(t *testing.T) {
	now := policy{name: "quick failures trip", usesPlan: true, hasObjective: true, fails: true}
	before := now
	before.name, before.failsLate = "two failures trip", true
	lostBefore, lost := lostWhereTargetsFail(t, before), lostWhereTargetsFail(t, now)
	if lost > 0.6*lostBefore {
		t.Errorf("%.4f of the requests are lost, %.4f if two failures trip a breaker", lost, lostBefore)
	}
}

// Guards against non-idempotent requests that meet more targets which have just begun to fail, because they are spread over all.
func TestRequestsThatCannotBeRetriedUseFewTargets(t *testing.T) {
	now := policy{name: "fixed order", usesPlan: true, hasObjective: true, fails: true}
	before := now
	before.name, before.spreads = "random order", true
	lostBefore, lost := lostWhereTargetsFail(t, before), lostWhereTargetsFail(t, now)
	if lost > 0.8*lostBefore {
		t.Errorf("%.4f of the requests are lost, %.4f in a random order", lost, lostBefore)
	}
}
