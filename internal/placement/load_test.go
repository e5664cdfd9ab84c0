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
	modelTargets  = 9
	modelSlots    = 3
	modelQueue    = 32
	modelLength   = 120 * time.Second
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
	// modelBytes is the size of a request with its answer.
	modelBytes = 4 << 10
	// newsEvery is how often the accepting nodes are told the load of the targets.
	newsEvery = 200 * time.Millisecond
	// modelDomains are two in each of two regions, if targets are spread.
	modelDomains = 4
)

// policy is a way to place and admit.
type policy struct {
	name string
	// asks means that the plan is followed; otherwise the request waits at a random target.
	asks bool
	// objective means that admission knows the latency objective; otherwise queues are bounded by the deadline alone, and
	// overdue runs cannot be told.
	objective bool
	// spread means that the targets are in several failure domains, news that their load is told.
	spread, news bool
}

// tally counts what callers get.
type tally struct {
	asked, inTime, late, refused, failed int
	// heldRefusals counts refusals that came after half of the objective.
	heldRefusals int
	// crossings counts refused asks in other failure domains.
	crossings int
}

func (t *tally) share() float64 { return float64(t.inTime) / float64(t.asked) }

type modelEvent struct {
	at time.Duration
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// world plays one service under load.
type world struct {
	policy policy
	random *rand.Rand
	now    time.Duration
	events eventQueue
	points map[model.TargetID]*admission.Point
	// pools are the targets as the accepting nodes of each failure domain see them.
	pools   []*routing.Pool
	waiting map[model.AttemptID]*call
	running map[model.AttemptID]*call
	serial  uint64
	long    tally
	short   tally
}

// call is one request.
type call struct {
	world      *world
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

func newWorld(p policy, seed uint64) *world {
	w := &world{
		policy: p, random: rand.New(rand.NewPCG(seed, 1)), points: make(map[model.TargetID]*admission.Point),
		waiting: make(map[model.AttemptID]*call), running: make(map[model.AttemptID]*call),
	}
	domains := 1
	if p.spread {
		domains = modelDomains
	}
	candidates := make([][]*routing.Candidate, domains)
	for i := range modelTargets {
		id := model.TargetID(string(rune('a' + i)))
		limits := admission.DefaultLimits()
		limits.QueuePerTarget = modelQueue
		w.points[id] = admission.NewPoint(limits, 1)
		for domain := range domains {
			candidates[domain] = append(candidates[domain], &routing.Candidate{
				Target:   model.Target{ID: id, Slots: modelSlots, RampSlots: modelSlots},
				Distance: modelDistance(domain, i%domains), Load: new(routing.Load),
			})
		}
	}
	for domain := range domains {
		w.pools = append(w.pools, routing.NewPool(candidates[domain]))
	}
	return w
}

func modelDistance(a, b int) routing.Distance {
	switch {
	case a == b:
		return routing.SameDomain
	case a/2 == b/2:
		return routing.SameRegion
	}
	return routing.OtherRegion
}

// tell tells the accepting nodes the load of all targets.
func (w *world) tell() {
	for _, pool := range w.pools {
		for c := range pool.All {
			if load, ok := w.points[c.Target.ID].LoadOf(c.Target.ID); ok {
				c.Load.Learn(newsOf(load, w.now))
			}
		}
	}
	if w.now <= modelLength+longDeadline {
		w.after(newsEvery, w.tell)
	}
}

func newsOf(load admission.Load, now time.Duration) model.TargetLoad {
	news := model.TargetLoad{Wait: load.ExpectedWait, Doubt: load.RequiredSuccesses, At: now}
	if load.Queued == 0 {
		news.Free = max(load.Slots-load.InFlight, 0)
	}
	return news
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.events, modelEvent{at: w.now + d, do: do})
}

// hangs reports whether the target hangs in the present window.
func (w *world) hangs(id model.TargetID) bool {
	window := uint64(w.now / hangWindow)
	return rand.New(rand.NewPCG(window, uint64(id[0]))).Float64() < hangShare
}

// play runs the load and returns what callers got after the first window.
func (w *world) play(longPerSecond, shortPerSecond float64) {
	w.arrivals(longPerSecond, false)
	w.arrivals(shortPerSecond, true)
	w.tick()
	if w.policy.news {
		w.tell()
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(modelEvent)
		w.now = e.at
		e.do()
	}
}

func (w *world) arrivals(perSecond float64, short bool) {
	next := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	w.after(next, func() {
		if w.now > modelLength {
			return
		}
		(&call{world: w, short: short, idempotent: short, arrived: w.now, domain: w.random.IntN(len(w.pools))}).offer()
		w.arrivals(perSecond, short)
	})
}

func (w *world) tick() {
	for id, point := range w.points {
		_ = point.Announce(w.now, admission.Announcement{
			Service: "s", Target: id, Address: "x", Slots: modelSlots, Phase: model.PhaseReady,
		})
		w.handle(point.Expire(w.now))
	}
	if w.now <= modelLength+longDeadline {
		w.after(expireEvery, w.tick)
	}
}

func (w *world) handle(events []admission.Event) {
	for _, e := range events {
		c := w.waiting[e.Attempt]
		if c == nil {
			continue
		}
		switch e.Kind {
		case admission.EventGranted:
			delete(w.waiting, e.Attempt)
			c.start()
		case admission.EventRefused:
			delete(w.waiting, e.Attempt)
			c.refused(e.Err, admission.Load{})
		}
	}
}

func (c *call) deadline() time.Duration {
	if c.short {
		return c.arrived + shortDeadline
	}
	return c.arrived + longDeadline
}

func (c *call) tally() *tally {
	if c.short {
		return &c.world.short
	}
	return &c.world.long
}

// offer begins a round over the targets.
func (c *call) offer() {
	w := c.world
	rq := placement.Request{Idempotent: c.idempotent, Objective: longObjective, Bytes: modelBytes}
	c.plan = placement.New(w.pools[c.domain], new(routing.Tried), rq, w.now, w.random)
	c.next()
}

func (c *call) next() {
	w := c.world
	choice, ok := c.plan.Next()
	if !w.policy.asks {
		choice.Mode, ok = placement.Queue, c.attempt == ""
	}
	if !ok {
		c.end(func(t *tally) {
			t.refused++
			if w.now-c.arrived > longObjective/2 {
				t.heldRefusals++
			}
		})
		return
	}
	w.serial++
	c.distance = choice.Candidate.Distance
	c.attempt, c.target = model.NewAttemptID("n", 1, w.serial), choice.Candidate.Target.ID
	d := w.points[c.target].Admit(w.now, c.request(choice.Mode))
	switch d.Kind {
	case admission.Admitted:
		c.start()
	case admission.Queued:
		w.waiting[c.attempt] = c
	default:
		c.refused(d.Err, d.Load)
	}
	w.handle(w.points[c.target].Events())
}

func (c *call) request(mode placement.Mode) admission.Request {
	r := admission.Request{
		Attempt: c.attempt, Service: "s", Target: c.target, Idempotent: c.idempotent, Incarnation: 1,
		AdmitBefore: c.deadline(), Deadline: c.deadline(), Route: "long",
		IdleOnly: mode == placement.IdleOnly || mode == placement.LastResort, LastResort: mode == placement.LastResort,
	}
	objective := longObjective
	if c.short {
		r.Route, objective = "short", shortDeadline/3
	}
	if c.world.policy.objective {
		r.Objective, r.ObjectiveRemaining = objective, objective-(c.world.now-c.arrived)
	}
	return r
}

func (c *call) refused(err *verdict.Error, load admission.Load) {
	if c.distance != routing.SameDomain && c.arrived >= hangWindow {
		c.tally().crossings++
	}
	c.plan.Refused(placement.Refusal{Full: err.Reason == verdict.SlotsFull, Wait: load.ExpectedWait, Doubt: load.RequiredSuccesses})
	c.next()
}

// start runs the admitted attempt. At a target that hangs most runs last until their deadline.
func (c *call) start() {
	w, attempt, target := c.world, c.attempt, c.target
	run := longRun
	if c.short {
		run = shortRun
	}
	run = time.Duration(float64(run) * math.Exp(runSpread*w.random.NormFloat64()))
	hung := w.hangs(target) && w.random.Float64() < hangFailures
	left := c.deadline() - w.now
	if hung || run > left {
		run, hung = left, true
	}
	w.after(run, func() {
		result := admission.Result{Outcome: admission.Answered}
		if hung {
			result = admission.Result{Outcome: admission.Lost, Failed: true}
		}
		for _, g := range w.points[target].Finish(w.now, attempt, result) {
			if waiting := w.waiting[g.Attempt]; waiting != nil {
				delete(w.waiting, g.Attempt)
				waiting.start()
			}
		}
		w.handle(w.points[target].Events())
		c.end(func(t *tally) {
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

// end counts the outcome of a request that arrived after the first window.
func (c *call) end(count func(*tally)) {
	if c.done || c.arrived < hangWindow {
		return
	}
	c.done = true
	c.tally().asked++
	count(c.tally())
}

func playLoad(t *testing.T, p policy, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	return playSeed(t, p, 7, longPerSecond, shortPerSecond)
}

func playSeed(t *testing.T, p policy, seed uint64, longPerSecond, shortPerSecond float64) (long, short tally) {
	t.Helper()
	w := newWorld(p, seed)
	w.play(longPerSecond, shortPerSecond)
	t.Logf("%-30s long %+v short %+v", p.name, w.long, w.short)
	return w.long, w.short
}

func (t *tally) add(other tally) {
	t.asked += other.asked
	t.inTime += other.inTime
	t.crossings += other.crossings
}

var (
	random   = policy{name: "random target, own queue"}
	byAsking = policy{name: "asking, judged targets", asks: true, objective: true}
	byNews   = policy{name: "asking, spread, told loads", asks: true, objective: true, spread: true, news: true}
	noNews   = policy{name: "asking, spread, loads not told", asks: true, objective: true, spread: true}
	noBound  = policy{name: "asking, queues to the deadline", asks: true}
)

// soundCapacity is the load in long runs a second that the targets which do not hang can serve.
const soundCapacity = modelTargets * modelSlots * (1 - hangShare) / 0.3

// Guards against non-idempotent requests lost at targets that hang. Played: half of what the sound targets can serve.
func TestHangingTargetsLoseFewRequests(t *testing.T) {
	before, _ := playLoad(t, random, soundCapacity/2, 20)
	now, _ := playLoad(t, byAsking, soundCapacity/2, 20)
	if lost, was := now.asked-now.inTime, before.asked-before.inTime; 3*lost > was {
		t.Errorf("%d requests are not served in time, want at most a third of the %d at random targets", lost, was)
	}
}

// Guards against queues under lasting overload that make answers late or hold what is refused, and against short requests
// starved by long ones. Played: half as much again as the sound targets can serve.
func TestOverloadIsServedInTime(t *testing.T) {
	unbounded, _ := playLoad(t, noBound, 1.5*soundCapacity, 20)
	long, short := playLoad(t, byAsking, 1.5*soundCapacity, 20)
	if long.share() <= unbounded.share() {
		t.Errorf("%.2f served in time with bounded queues, %.2f without", long.share(), unbounded.share())
	}
	if long.late > long.inTime/4 {
		t.Errorf("%d late answers beside %d in time", long.late, long.inTime)
	}
	if short.share() < long.share() {
		t.Errorf("short requests: %.2f in time, long ones %.2f", short.share(), long.share())
	}
	if long.heldRefusals > long.refused/4 {
		t.Errorf("%d of %d refusals came late", long.heldRefusals, long.refused)
	}
}

// Guards against requests that ask in one failure domain after the other for slots that others have. Played: nine tenths of
// what the sound targets can serve, from four failure domains.
func TestToldLoadsSpareAsksBetweenDomains(t *testing.T) {
	var before, beforeShort, now, nowShort tally
	for seed := range uint64(8) {
		long, short := playSeed(t, noNews, seed, 0.9*soundCapacity, 20)
		before.add(long)
		beforeShort.add(short)
		long, short = playSeed(t, byNews, seed, 0.9*soundCapacity, 20)
		now.add(long)
		nowShort.add(short)
	}
	if asks, was := now.crossings+nowShort.crossings, before.crossings+beforeShort.crossings; 3*asks > was {
		t.Errorf("%d refused asks in other failure domains, want at most a third of the %d without news", asks, was)
	}
	if now.share() < before.share() || nowShort.share() < beforeShort.share() {
		t.Errorf("served in time: long %.3f, short %.3f; without news %.3f and %.3f",
			now.share(), nowShort.share(), before.share(), beforeShort.share())
	}
}
