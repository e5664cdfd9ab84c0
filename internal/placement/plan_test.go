package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

const objective = time.Second

func candidate(id string, distance routing.Distance, change func(*routing.Candidate)) *routing.Candidate {
	c := &routing.Candidate{
		Target:   model.Target{ID: model.TargetID(id), Slots: 3, RampSlots: 3},
		Distance: distance, Load: new(routing.Load),
	}
	if change != nil {
		change(c)
	}
	return c
}

// testRequest returns a request of referenceBytes.
func testRequest(idempotent bool) Request {
	return Request{Idempotent: idempotent, Objective: objective, Bytes: referenceBytes}
}

func newPlan(idempotent bool, candidates ...*routing.Candidate) *Plan {
	random := rand.New(rand.NewPCG(1, 2))
	return New(routing.NewPool(candidates), new(routing.Tried), testRequest(idempotent), 0, random)
}

// runPlan refuses each choice of the plan with the result of refuse until the plan ends, and returns the choices.
func runPlan(p *Plan, refuse func(Choice) Refusal) (choices []Choice) {
	for {
		choice, ok := p.Next()
		if !ok {
			return choices
		}
		choices = append(choices, choice)
		p.RecordRefusal(refuse(choice))
	}
}

func fullRefusal(wait time.Duration) Refusal { return Refusal{Full: true, Wait: wait} }

// Guards against a request that leaves its failure domain, or its region, while a target there would serve it in time.
func TestNearTargetsGoFirst(t *testing.T) {
	p := newPlan(false,
		candidate("remote", routing.OtherRegion, nil),
		candidate("near", routing.SameRegion, nil),
		candidate("own", routing.SameDomain, nil),
	)
	var got []string
	for _, c := range runPlan(p, func(Choice) Refusal { return fullRefusal(objective / 2) }) {
		got = append(got, string(c.Candidate.Target.ID)+" "+c.Mode.String())
	}
	want := []string{"own idle only", "near idle only", "own queue", "near queue", "remote queue"}
	if len(got) != len(want) {
		t.Fatalf("choices %q, want %q", got, want)
	}
	for i := range want {
		// Both queues have the same expected wait, so either may come first.
		if got[i] != want[i] && i != 2 && i != 3 {
			t.Errorf("choice %d is %q, want %q", i, got[i], want[i])
		}
	}
}

// Guards against admission requests in other failure domains, where bytes are paid for, while the expected wait in the
// own domain is short.
func TestShortWaitInTheOwnDomain(t *testing.T) {
	p := newPlan(false, candidate("near", routing.SameRegion, nil), candidate("own", routing.SameDomain, nil))
	first, _ := p.Next()
	p.RecordRefusal(fullRefusal(objective / 10))
	second, ok := p.Next()
	if !ok || first.Candidate.Target.ID != "own" || second.Candidate.Target.ID != "own" || second.Mode != Queue {
		t.Fatalf("choices %v and %v, want the queue of the target in the own domain", first, second)
	}
}

// Guards against a non-idempotent request that is sent to a hanging target while others are only full. If all breakers are
// half-open, the plan must still try targets as last resort.
func TestLastResort(t *testing.T) {
	required := map[string]int{"hangs": 3, "recovering": 1}
	refuse := func(c Choice) Refusal {
		if n := required[string(c.Candidate.Target.ID)]; n > 0 {
			return Refusal{RequiredSuccesses: n}
		}
		return fullRefusal(time.Hour)
	}
	lastResorts := func(choices []Choice) (ids []string) {
		for _, c := range choices {
			if c.Mode == LastResort {
				ids = append(ids, string(c.Candidate.Target.ID))
			}
		}
		return ids
	}
	hangs, recovering := candidate("hangs", routing.SameDomain, nil), candidate("recovering", routing.SameDomain, nil)
	if got := lastResorts(runPlan(newPlan(false, hangs, candidate("full", routing.SameDomain, nil)), refuse)); len(got) != 0 {
		t.Errorf("with a full target: last resorts %v, want none", got)
	}
	if got := lastResorts(runPlan(newPlan(false, hangs, recovering, candidate("full", routing.SameDomain, nil)), refuse)); len(got) != 1 || got[0] != "recovering" {
		t.Errorf("with a full target and one that needs one success: last resorts %v, want recovering", got)
	}
	if got := lastResorts(runPlan(newPlan(false, hangs, recovering), refuse)); len(got) != 2 || got[0] != "recovering" {
		t.Errorf("all breakers half-open: last resorts %v, want recovering before hangs", got)
	}
}

// Guards against plans that try half-open, cold, full or suspected targets before healthy ones of the same domain.
func TestKnownStateOrdersTargets(t *testing.T) {
	states := map[string]func(*routing.Candidate){
		"half-open": func(c *routing.Candidate) { c.Target.BreakerHalfOpen = true },
		"cold":      func(c *routing.Candidate) { c.Target.Cold = true },
		"full":      func(c *routing.Candidate) { c.Load.OwnInFlight.Store(3) },
		"suspected": func(c *routing.Candidate) { c.LastResort = true },
	}
	for name, state := range states {
		p := newPlan(false, candidate(name, routing.SameDomain, state), candidate("healthy", routing.SameDomain, nil))
		if first, _ := p.Next(); first.Candidate.Target.ID != "healthy" {
			t.Errorf("the %s target is tried first", name)
		}
	}
}

// Guards against a plan that does not end.
func TestPlanIsBounded(t *testing.T) {
	var candidates []*routing.Candidate
	for i := range 60 {
		candidates = append(candidates, candidate(string(rune('A'+i)), routing.Distance(i%3), nil))
	}
	refusals := []Refusal{{}, fullRefusal(0), fullRefusal(time.Hour), {RequiredSuccesses: 1}, {RequiredSuccesses: 4}}
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		choices := runPlan(newPlan(random.IntN(2) == 0, candidates...), func(Choice) Refusal { return refusals[random.IntN(len(refusals))] })
		if limit := maxDomainAdmissionRequests + maxRegionAdmissionRequests + maxRemoteAdmissionRequests + maxQueueRequests + maxLastResortRequests; len(choices) > limit {
			t.Fatalf("%d choices, want at most %d", len(choices), limit)
		}
	}
}

// Guards against a panic or a choice in the plan of a service without targets.
func TestEmptyPlan(t *testing.T) {
	p := New(nil, new(routing.Tried), Request{Idempotent: true}, 0, rand.New(rand.NewPCG(1, 2)))
	if _, ok := p.Next(); ok || p.Remaining() != 0 {
		t.Error("a plan without targets has a choice")
	}
	p.RecordRefusal(Refusal{})
}

// Guards against a recovered target that stays out of use because it receives no probes. Probes must not leave the failure
// domain and must be idempotent requests.
func TestProbesTryHalfOpenTargetsOfTheDomainFirst(t *testing.T) {
	halfOpen := func(c *routing.Candidate) { c.Target.BreakerHalfOpen = true }
	pool := routing.NewPool([]*routing.Candidate{
		candidate("healthy", routing.SameDomain, nil), candidate("half-open", routing.SameDomain, halfOpen),
		candidate("near", routing.SameRegion, halfOpen),
	})
	random := rand.New(rand.NewPCG(5, 6))
	const requests = 2000
	first := map[bool]map[model.TargetID]int{true: {}, false: {}}
	for range requests {
		for _, idempotent := range []bool{true, false} {
			choice, _ := New(pool, new(routing.Tried), testRequest(idempotent), 0, random).Next()
			first[idempotent][choice.Candidate.Target.ID]++
		}
	}
	if got := float64(first[true]["half-open"]) / requests; got < probeShare-0.05 || got > probeShare+0.05 {
		t.Errorf("%.2f of the idempotent requests are probes, want %.2f", got, probeShare)
	}
	if first[false]["healthy"] != requests || first[true]["near"] != 0 {
		t.Errorf("first choices %v", first)
	}
}

// withLoad returns a change that gives a candidate a load update.
func withLoad(load model.TargetLoad) func(*routing.Candidate) {
	return func(c *routing.Candidate) {
		load.At = time.Millisecond
		c.Load.Update(load)
	}
}

// Guards against admission requests in other failure domains that would be refused according to the load updates.
func TestNoIdleRequestsToFullTargetsInOtherDomains(t *testing.T) {
	choices := runPlan(newPlan(false,
		candidate("own", routing.SameDomain, nil),
		candidate("full", routing.SameRegion, withLoad(model.TargetLoad{Wait: objective})),
		candidate("half-open", routing.SameRegion, withLoad(model.TargetLoad{Free: 3, RequiredSuccesses: 2})),
		candidate("free", routing.SameRegion, withLoad(model.TargetLoad{Free: 1})),
	), func(Choice) Refusal { return fullRefusal(objective / 2) })
	for _, c := range choices {
		if id := c.Candidate.Target.ID; c.Mode == IdleOnly && id != "own" && id != "free" {
			t.Errorf("the %s target is sent a request for a free slot", id)
		}
	}
	if second := choices[1]; second.Candidate.Target.ID != "free" {
		t.Errorf("second choice %s, want the free target", second.Candidate.Target.ID)
	}
}

// Guards against a request that waits long in its region while another region has free slots, and against a request that
// leaves its region to avoid a short wait.
func TestFreeCapacityInAnotherRegion(t *testing.T) {
	for wait, want := range map[time.Duration]model.TargetID{objective / 4: "own", objective: "remote"} {
		p := newPlan(false,
			candidate("own", routing.SameDomain, nil),
			candidate("remote", routing.OtherRegion, withLoad(model.TargetLoad{Free: 2})),
		)
		p.Next()
		p.RecordRefusal(fullRefusal(wait))
		if second, _ := p.Next(); second.Candidate.Target.ID != want || second.Mode != Queue {
			t.Errorf("with a wait of %v: %s in mode %v, want to queue at %s", wait, second.Candidate.Target.ID, second.Mode, want)
		}
	}
}

// Guards against a stale load update that excludes a target.
func TestStaleLoadIsIgnored(t *testing.T) {
	c := candidate("near", routing.SameRegion, withLoad(model.TargetLoad{Wait: time.Hour}))
	random := rand.New(rand.NewPCG(1, 2))
	p := New(routing.NewPool([]*routing.Candidate{c}), new(routing.Tried), testRequest(false), 2*loadMaxAge, random)
	if choice, ok := p.Next(); !ok || choice.Mode != IdleOnly {
		t.Errorf("choice %+v, want a request for a free slot", choice)
	}
}

// Guards against a large request that leaves its failure domain to avoid a wait that justifies the transfer only for a small
// request.
func TestLargeRequestsStayInTheirDomain(t *testing.T) {
	for bytes, want := range map[int64]model.TargetID{100: "near", 2 * referenceBytes: "own"} {
		pool := routing.NewPool([]*routing.Candidate{
			candidate("own", routing.SameDomain, nil), candidate("near", routing.SameRegion, withLoad(model.TargetLoad{Free: 2})),
		})
		rq := testRequest(false)
		rq.Bytes = bytes
		p := New(pool, new(routing.Tried), rq, 0, rand.New(rand.NewPCG(1, 2)))
		p.Next()
		p.RecordRefusal(fullRefusal(objective / 10))
		if second, _ := p.Next(); second.Candidate.Target.ID != want {
			t.Errorf("%d bytes, after a wait of a tenth of the objective: %s, want %s", bytes, second.Candidate.Target.ID, want)
		}
	}
}
