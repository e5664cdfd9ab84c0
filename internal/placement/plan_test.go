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

// testRequest is a request of the size for which the costs of crossing hold.
func testRequest(idempotent bool) Request {
	return Request{Idempotent: idempotent, Objective: objective, Bytes: referenceBytes}
}

func newPlan(idempotent bool, candidates ...*routing.Candidate) *Plan {
	random := rand.New(rand.NewPCG(1, 2))
	return New(routing.NewPool(candidates), new(routing.Tried), testRequest(idempotent), 0, random)
}

// runPlan answers each choice of the plan by refuse until the plan ends, and returns the choices.
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
		// The two queues are as long as each other, so that either may come first.
		if got[i] != want[i] && i != 2 && i != 3 {
			t.Errorf("choice %d is %q, want %q", i, got[i], want[i])
		}
	}
}

// Guards against asking in other failure domains, where bytes are paid for, while the wait in the own one is short.
func TestShortWaitInTheOwnDomain(t *testing.T) {
	p := newPlan(false, candidate("near", routing.SameRegion, nil), candidate("own", routing.SameDomain, nil))
	first, _ := p.Next()
	p.RecordRefusal(fullRefusal(objective / 10))
	second, ok := p.Next()
	if !ok || first.Candidate.Target.ID != "own" || second.Candidate.Target.ID != "own" || second.Mode != Queue {
		t.Fatalf("choices %v and %v, want the queue of the own domain's target", first, second)
	}
}

// Guards against a non-idempotent request that goes to a target which hangs while others are merely full, and against
// none being asked where all are doubtful.
func TestLastResort(t *testing.T) {
	doubt := map[string]int{"hangs": 3, "slight": 1}
	refuse := func(c Choice) Refusal {
		if d := doubt[string(c.Candidate.Target.ID)]; d > 0 {
			return Refusal{RequiredSuccesses: d}
		}
		return fullRefusal(time.Hour)
	}
	forced := func(choices []Choice) (ids []string) {
		for _, c := range choices {
			if c.Mode == LastResort {
				ids = append(ids, string(c.Candidate.Target.ID))
			}
		}
		return ids
	}
	hangs, slight := candidate("hangs", routing.SameDomain, nil), candidate("slight", routing.SameDomain, nil)
	if got := forced(runPlan(newPlan(false, hangs, candidate("full", routing.SameDomain, nil)), refuse)); len(got) != 0 {
		t.Errorf("beside a full target: last resorts %v, want none", got)
	}
	if got := forced(runPlan(newPlan(false, hangs, slight, candidate("full", routing.SameDomain, nil)), refuse)); len(got) != 1 || got[0] != "slight" {
		t.Errorf("beside a full target and one in slight doubt: last resorts %v, want slight", got)
	}
	if got := forced(runPlan(newPlan(false, hangs, slight), refuse)); len(got) != 2 || got[0] != "slight" {
		t.Errorf("all doubtful: last resorts %v, want slight before hangs", got)
	}
}

// Guards against requests that ask known doubtful, cold or full targets before the others of their domain.
func TestKnownStateOrdersTargets(t *testing.T) {
	states := map[string]func(*routing.Candidate){
		"doubtful": func(c *routing.Candidate) { c.Target.BreakerHalfOpen = true },
		"cold":     func(c *routing.Candidate) { c.Target.Cold = true },
		"full":     func(c *routing.Candidate) { c.Load.OwnInFlight.Store(3) },
		"suspect":  func(c *routing.Candidate) { c.LastResort = true },
	}
	for name, state := range states {
		p := newPlan(false, candidate(name, routing.SameDomain, state), candidate("sound", routing.SameDomain, nil))
		if first, _ := p.Next(); first.Candidate.Target.ID != "sound" {
			t.Errorf("the %s target is asked first", name)
		}
	}
}

// Guards against a plan that asks without end, or that counts targets as left when none can be asked.
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

// Guards against a plan of a service without targets that fails.
func TestEmptyPlan(t *testing.T) {
	p := New(nil, new(routing.Tried), Request{Idempotent: true}, 0, rand.New(rand.NewPCG(1, 2)))
	if _, ok := p.Next(); ok || p.Remaining() != 0 {
		t.Error("a plan without targets has a choice")
	}
	p.RecordRefusal(Refusal{})
}

// Guards against a target that has recovered staying out because no request proves it, and against probes that leave the
// failure domain or are made of requests that must not be lost.
func TestProbesAskDoubtfulTargetsOfTheDomainFirst(t *testing.T) {
	doubtful := func(c *routing.Candidate) { c.Target.BreakerHalfOpen = true }
	pool := routing.NewPool([]*routing.Candidate{
		candidate("sound", routing.SameDomain, nil), candidate("doubtful", routing.SameDomain, doubtful),
		candidate("far", routing.SameRegion, doubtful),
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
	if got := float64(first[true]["doubtful"]) / requests; got < probeShare-0.05 || got > probeShare+0.05 {
		t.Errorf("%.2f of the idempotent requests are probes, want %.2f", got, probeShare)
	}
	if first[false]["sound"] != requests || first[true]["far"] != 0 {
		t.Errorf("first choices %v", first)
	}
}

// withLoad returns a change that makes the load of a candidate known.
func withLoad(load model.TargetLoad) func(*routing.Candidate) {
	return func(c *routing.Candidate) {
		load.At = time.Millisecond
		c.Load.Update(load)
	}
}

// Guards against asks in other failure domains that are known to be refused.
func TestNoIdleRequestsToFullTargetsInOtherDomains(t *testing.T) {
	choices := runPlan(newPlan(false,
		candidate("own", routing.SameDomain, nil),
		candidate("full", routing.SameRegion, withLoad(model.TargetLoad{Wait: objective})),
		candidate("doubtful", routing.SameRegion, withLoad(model.TargetLoad{Free: 3, RequiredSuccesses: 2})),
		candidate("free", routing.SameRegion, withLoad(model.TargetLoad{Free: 1})),
	), func(Choice) Refusal { return fullRefusal(objective / 2) })
	for _, c := range choices {
		if id := c.Candidate.Target.ID; c.Mode == IdleOnly && id != "own" && id != "free" {
			t.Errorf("the %s target is asked for a free slot", id)
		}
	}
	if second := choices[1]; second.Candidate.Target.ID != "free" {
		t.Errorf("second choice %s, want the free target", second.Candidate.Target.ID)
	}
}

// Guards against a request that waits long in its region while another one has room, and against one that leaves its region
// for a short wait.
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

// Guards against old news that keep a target from being asked.
func TestStaleLoadIsIgnored(t *testing.T) {
	c := candidate("near", routing.SameRegion, withLoad(model.TargetLoad{Wait: time.Hour}))
	random := rand.New(rand.NewPCG(1, 2))
	p := New(routing.NewPool([]*routing.Candidate{c}), new(routing.Tried), testRequest(false), 2*loadMaxAge, random)
	if choice, ok := p.Next(); !ok || choice.Mode != IdleOnly {
		t.Errorf("choice %+v, want to ask for a free slot", choice)
	}
}

// Guards against a large request that leaves its failure domain for a wait that a small one would avoid.
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
