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

// The modelled service: a third of its targets hang at any time, each for a whole window.
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
	// simRequestBytes is the size of a request with its answer.
	simRequestBytes = 4 << 10
	// publishInterval is how often the accepting nodes are told the load of the targets.
	publishInterval = 200 * time.Millisecond
	// simDomains are two in each of two regions, if targets are spread.
	simDomains = 4
)

// policy is a way to place and admit.
type policy struct {
	name string
	// usesPlan means that the plan is followed; otherwise the request waits at a random target.
	usesPlan bool
	// hasObjective means that admission knows the latency objective; otherwise queues are bounded by the deadline alone, and
	// overdue runs cannot be told.
	hasObjective bool
	// multiDomain means that the targets are in several failure domains, news that their load is told.
	multiDomain, sharesLoads bool
}

// tally counts what callers get.
type tally struct {
	total, inTime, late, refused, failed int
	// lateRefusals counts refusals that came after half of the objective.
	lateRefusals int
	// crossDomainRefusals counts refused asks in other failure domains.
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

// simulation plays one service under load.
type simulation struct {
	policy policy
	random *rand.Rand
	now    time.Duration
	events eventQueue
	points map[model.TargetID]*admission.Point
	// pools are the targets as the accepting nodes of each failure domain see them.
	pools   []*routing.Pool
	waiting map[model.AttemptID]*simRequest
	running map[model.AttemptID]*simRequest
	serial  uint64
	long    tally
	short   tally
}

// simRequest is one request.
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
	w := &simulation{
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
		w.points[id] = admission.NewPoint(limits, 1)
		for domain := range domains {
			candidates[domain] = append(candidates[domain], &routing.Candidate{
				Target:   model.Target{ID: id, Slots: simSlots, RampSlots: simSlots},
				Distance: simDistance(domain, i%domains), Load: new(routing.Load),
			})
		}
	}
	for domain := range domains {
		w.pools = append(w.pools, routing.NewPool(candidates[domain]))
	}
	return w
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

// publishLoads tells the accepting nodes the load of all targets.
func (w *simulation) publishLoads() {
	for _, pool := range w.pools {
		for c := range pool.All {
			if load, ok := w.points[c.Target.ID].LoadOf(c.Target.ID); ok {
				c.Load.Update(toTargetLoad(load, w.now))
			}
		}
	}
	if w.now <= simDuration+longDeadline {
		w.schedule(publishInterval, w.publishLoads)
	}
}

func toTargetLoad(load admission.Load, now time.Duration) model.TargetLoad {
	news := model.TargetLoad{Wait: load.Wait, RequiredSuccesses: load.Doubt, At: now}
	if load.Queued == 0 {
		news.Free = max(load.Slots-load.InFlight, 0)
	}
	return news
}

func (w *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&w.events, simEvent{at: w.now + d, do: do})
}

// isHanging reports whether the target hangs in the present window.
func (w *simulation) isHanging(id model.TargetID) bool {
	window := uint64(w.now / hangWindow)
	return rand.New(rand.NewPCG(window, uint64(id[0]))).Float64() < hangShare
}

// run runs the load and returns what callers got after the first window.
func (w *simulation) run(longPerSecond, shortPerSecond float64) {
	w.scheduleArrivals(longPerSecond, false)
	w.scheduleArrivals(shortPerSecond, true)
	w.tick()
	if w.policy.sharesLoads {
		w.publishLoads()
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
}

func (w *simulation) scheduleArrivals(perSecond float64, short bool) {
	next := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	w.schedule(next, func() {
		if w.now > simDuration {
			return
		}
		(&simRequest{sim: w, short: short, idempotent: short, arrived: w.now, domain: w.random.IntN(len(w.pools))}).begin()
		w.scheduleArrivals(perSecond, short)
	})
}

func (w *simulation) tick() {
	for id, point := range w.points {
		_ = point.Announce(w.now, admission.Announcement{
			Service: "s", Target: id, Address: "x", Slots: simSlots, Phase: model.PhaseReady,
		})
		w.handleEvents(point.Expire(w.now))
	}
	if w.now <= simDuration+longDeadline {
		w.schedule(expireEvery, w.tick)
	}
}

func (w *simulation) handleEvents(events []admission.Event) {
	for _, e := range events {
		c := w.waiting[e.Attempt]
		if c == nil {
			continue
		}
		switch e.Kind {
		case admission.EventGranted:
			delete(w.waiting, e.Attempt)
			c.run()
		case admission.EventRefused:
			delete(w.waiting, e.Attempt)
			c.handleRefusal(e.Err, admission.Load{})
		}
	}
}

func (c *simRequest) deadline() time.Duration {
	if c.short {
		return c.arrived + shortDeadline
	}
	return c.arrived + longDeadline
}

func (c *simRequest) tally() *tally {
	if c.short {
		return &c.sim.short
	}
	return &c.sim.long
}

// begin begins a round over the targets.
func (c *simRequest) begin() {
	w := c.sim
	rq := placement.Request{Idempotent: c.idempotent, Objective: longObjective, Bytes: simRequestBytes}
	c.plan = placement.New(w.pools[c.domain], new(routing.Tried), rq, w.now, w.random)
	c.tryNext()
}

func (c *simRequest) tryNext() {
	w := c.sim
	choice, ok := c.plan.Next()
	if !w.policy.usesPlan {
		choice.Mode, ok = placement.Queue, c.attempt == ""
	}
	if !ok {
		c.finish(func(t *tally) {
			t.refused++
			if w.now-c.arrived > longObjective/2 {
				t.lateRefusals++
			}
		})
		return
	}
	w.serial++
	c.distance = choice.Candidate.Distance
	c.attempt, c.target = model.NewAttemptID("n", 1, w.serial), choice.Candidate.Target.ID
	d := w.points[c.target].Admit(w.now, c.admissionRequest(choice.Mode))
	switch d.Kind {
	case admission.Admitted:
		c.run()
	case admission.Queued:
		w.waiting[c.attempt] = c
	default:
		c.handleRefusal(d.Err, d.Load)
	}
	w.handleEvents(w.points[c.target].Events())
}

func (c *simRequest) admissionRequest(mode placement.Mode) admission.Request {
	r := admission.Request{
		Attempt: c.attempt, Service: "s", Target: c.target, Idempotent: c.idempotent, Incarnation: 1,
		AdmitBefore: c.deadline(), Deadline: c.deadline(), Route: "long",
		IdleOnly: mode == placement.IdleOnly || mode == placement.LastResort, LastResort: mode == placement.LastResort,
	}
	objective := longObjective
	if c.short {
		r.Route, objective = "short", shortDeadline/3
	}
	if c.sim.policy.hasObjective {
		r.Objective, r.ObjectiveLeft = objective, objective-(c.sim.now-c.arrived)
	}
	return r
}

func (c *simRequest) handleRefusal(err *verdict.Error, load admission.Load) {
	if c.distance != routing.SameDomain && c.arrived >= hangWindow {
		c.tally().crossDomainRefusals++
	}
	c.plan.RecordRefusal(placement.Refusal{Full: err.Reason == verdict.SlotsFull, Wait: load.Wait, RequiredSuccesses: load.Doubt})
	c.tryNext()
}

// run runs the admitted attempt. At a target that hangs most runs last until their deadline.
func (c *simRequest) run() {
	w, attempt, target := c.sim, c.attempt, c.target
	run := longRun
	if c.short {
		run = shortRun
	}
	run = time.Duration(float64(run) * math.Exp(runSpread*w.random.NormFloat64()))
	hung := w.isHanging(target) && w.random.Float64() < hangFailures
	left := c.deadline() - w.now
	if hung || run > left {
		run, hung = left, true
	}
	w.schedule(run, func() {
		result := admission.Result{Outcome: admission.Answered}
		if hung {
			result = admission.Result{Outcome: admission.Lost, Failed: true}
		}
		for _, g := range w.points[target].Finish(w.now, attempt, result) {
			if waiting := w.waiting[g.Attempt]; waiting != nil {
				delete(w.waiting, g.Attempt)
				waiting.run()
			}
		}
		w.handleEvents(w.points[target].Events())
		c.finish(func(t *tally) {
			switch {
			case hung:
				t.failed++
			case w.now-c.arrived <= longObjective:
				t.inTime++
			default:
				t.late++
			}
		})
	})
}

// finish counts the outcome of a request that arrived after the first window.
func (c *simRequest) finish(count func(*tally)) {
	if c.done || c.arrived < hangWindow {
		return
	}
	c.done = true
	c.tally().total++
	count(c.tally())
}

func simulateLoad(t *testing.T, p policy, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	return simulateSeed(t, p, 7, longPerSecond, shortPerSecond)
}

func simulateSeed(t *testing.T, p policy, seed uint64, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	w := newSimulation(p, seed)
	w.run(longPerSecond, shortPerSecond)
	t.Logf("%-30s long %+v short %+v", p.name, w.long, w.short)
	return w.long, w.short
}

func (t *tally) add(other tally) {
	t.total += other.total
	t.inTime += other.inTime
	t.crossDomainRefusals += other.crossDomainRefusals
}

var (
	randomTarget       = policy{name: "random target, own queue"}
	planned            = policy{name: "asking, judged targets", usesPlan: true, hasObjective: true}
	withLoadUpdates    = policy{name: "asking, spread, told loads", usesPlan: true, hasObjective: true, multiDomain: true, sharesLoads: true}
	withoutLoadUpdates = policy{name: "asking, spread, loads not told", usesPlan: true, hasObjective: true, multiDomain: true}
	unboundedQueues    = policy{name: "asking, queues to the deadline", usesPlan: true}
)

// healthyCapacity is the load in long runs a second that the targets which do not hang can serve.
const healthyCapacity = simTargets * simSlots * (1 - hangShare) / 0.3

// Guards against non-idempotent requests lost at targets that hang. Played: half of what the sound targets can serve.
func TestHangingTargetsLoseFewRequests(t *testing.T) {
	before, _ := simulateLoad(t, randomTarget, healthyCapacity/2, 20)
	now, _ := simulateLoad(t, planned, healthyCapacity/2, 20)
	if lost, was := now.total-now.inTime, before.total-before.inTime; 3*lost > was {
		t.Errorf("%d requests are not served in time, want at most a third of the %d at random targets", lost, was)
	}
}

// Guards against queues under lasting overload that make answers late or hold what is refused, and against short requests
// starved by long ones. Played: half as much again as the sound targets can serve.
func TestOverloadIsServedInTime(t *testing.T) {
	unbounded, _ := simulateLoad(t, unboundedQueues, 1.5*healthyCapacity, 20)
	long, short := simulateLoad(t, planned, 1.5*healthyCapacity, 20)
	if long.inTimeShare() <= unbounded.inTimeShare() {
		t.Errorf("%.2f served in time with bounded queues, %.2f without", long.inTimeShare(), unbounded.inTimeShare())
	}
	if long.late > long.inTime/4 {
		t.Errorf("%d late answers beside %d in time", long.late, long.inTime)
	}
	if short.inTimeShare() < long.inTimeShare() {
		t.Errorf("short requests: %.2f in time, long ones %.2f", short.inTimeShare(), long.inTimeShare())
	}
	if long.lateRefusals > long.refused/4 {
		t.Errorf("%d of %d refusals came late", long.lateRefusals, long.refused)
	}
}

// Guards against requests that ask in one failure domain after the other for slots that others have. Played: nine tenths of
// what the sound targets can serve, from four failure domains.
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
	if asks, was := now.crossDomainRefusals+nowShort.crossDomainRefusals, before.crossDomainRefusals+beforeShort.crossDomainRefusals; 3*asks > was {
		t.Errorf("%d refused asks in other failure domains, want at most a third of the %d without news", asks, was)
	}
	if now.inTimeShare() < before.inTimeShare() || nowShort.inTimeShare() < beforeShort.inTimeShare() {
		t.Errorf("served in time: long %.3f, short %.3f; without news %.3f and %.3f",
			now.inTimeShare(), nowShort.inTimeShare(), before.inTimeShare(), beforeShort.inTimeShare())
	}
}
