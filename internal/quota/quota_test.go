package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	testLend = 2 * time.Second
	testStep = 50 * time.Millisecond
	account  = model.AccountName("a")
)

// testNode is a node of a fleet without a network. The distributor of the account is chosen by the test.
type testNode struct {
	id          model.NodeID
	incarnation model.Incarnation
	lender      *Lender
	distributor *Distributor
	purse       Purse
	// started is the time at which the clock of the incarnation began.
	started time.Duration
	serial  uint64
	// cut means that calls from and to the node get no answer. It may have handled them, or handles them when it is no longer cut.
	cut bool
	// late are the calls that the node has not handled yet.
	late []testCall
}

// testCall lends parts, if it has an echo, and asks for permits.
type testCall struct {
	loan    Loan
	echo    *ClockReading
	waiting int
}

// reading returns the node's own clock.
func (n *testNode) reading(now time.Duration) ClockReading {
	return ClockReading{Incarnation: n.incarnation, At: now - n.started}
}

// handle handles a call as the distributor.
func (n *testNode) handle(now time.Duration, call testCall, limit Limit, expected int) Grant {
	clock := n.reading(now)
	if call.echo != nil {
		if until, lends := clock.LoanEnd(*call.echo, testLend); lends {
			n.distributor.Lend(clock.At, call.loan, until)
		}
	}
	return n.distributor.Take(clock.At, account, limit, call.waiting, expected)
}

// wake ends the cut. The node handles the calls that it has missed.
func (n *testNode) wake(now time.Duration, limit Limit) {
	n.cut = false
	for _, call := range n.late {
		n.handle(now, call, limit, 0)
	}
	n.late = nil
}

func (n *testNode) restart(now time.Duration) {
	n.incarnation++
	n.started, n.serial = now, 0
	n.lender = NewLender(0, testLend)
	n.distributor = NewDistributor(testLend)
	n.purse = Purse{}
}

// ask lends the parts to the distributor and asks it for permits.
func (n *testNode) ask(now time.Duration, to *testNode, nodes int, limit Limit, waiting int, random *rand.Rand) {
	at := n.reading(now).At
	if !n.lender.MayLendTo(at, to.id) {
		return
	}
	n.serial++
	call := testCall{loan: Loan{Node: n.id, Incarnation: n.incarnation, Divisor: nodes, IsCasting: n.id == "n0", Serial: n.serial}, waiting: waiting}
	if n.lender.HasHeard(at, to.id) {
		echo := n.lender.Lend(to.id)
		call.echo = &echo
	}
	if n != to && (n.cut || to.cut) {
		switch random.IntN(3) {
		case 0:
			to.handle(now, call, limit, 0)
		case 1:
			to.late = append(to.late, call)
		}
		return
	}
	grant := to.handle(now, call, limit, n.purse.Expected(now))
	n.lender.Hear(at, to.id, to.reading(now))
	n.purse.Add(grant.Permits, now+PermitValidity)
	if grant.NextIn > 0 {
		n.purse.RefuseFor(now, grant.NextIn)
	}
}

// Guards against more requests of an account than its limit allows in any span, while nodes are cut off or frozen and restart, and the
// distributor of the account changes and differs from node to node.
func TestPermitsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		limit := Limit{PerSecond: 1 + random.Float64()*200, Burst: random.Float64() * 200}
		if random.IntN(2) == 0 {
			limit = Limit{PerSecond: 0.2 + random.Float64()*5, Burst: random.Float64() * 3}
		}
		nodes := make([]*testNode, 2+random.IntN(12))
		for i := range nodes {
			nodes[i] = &testNode{id: model.NodeID(fmt.Sprint("n", i))}
			nodes[i].restart(-time.Minute)
		}
		distributor := 0
		var passed []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += testStep {
			switch random.IntN(30) {
			case 0:
				nodes[random.IntN(len(nodes))].restart(now)
			case 1:
				nodes[random.IntN(len(nodes))].cut = true
			case 2, 3:
				nodes[random.IntN(len(nodes))].wake(now, limit)
			case 4:
				distributor = random.IntN(len(nodes))
			}
			for _, n := range nodes {
				to := nodes[distributor]
				if random.IntN(20) == 0 {
					to = nodes[random.IntN(len(nodes))]
				}
				if n.cut {
					to = n
				}
				demand := random.IntN(1 + int(limit.PerSecond*testStep.Seconds()*3/float64(len(nodes))+2))
				n.ask(now, to, len(nodes), limit, demand, random)
				for range demand {
					n.purse.Count(now)
					if _, ok := n.purse.Take(now); ok {
						passed = append(passed, now)
					}
				}
			}
			checkShares(t, now, nodes)
			checkTokens(t, now, nodes, limit)
		}
		checkSpans(t, passed, limit, len(nodes))
	})
}

// checkShares checks that no part is in use at two distributors.
func checkShares(t *rapid.T, now time.Duration, nodes []*testNode) {
	total := 0.0
	for _, n := range nodes {
		total += n.distributor.Share(n.reading(now).At)
	}
	if total > 1+1e-9 {
		t.Fatalf("at %s the distributors hold %.3f of the limit", now, total)
	}
}

// checkTokens checks that the requests which the distributors would let pass at once are within the limit.
func checkTokens(t *rapid.T, now time.Duration, nodes []*testNode, limit Limit) {
	whole, total := 0, 0.0
	for _, n := range nodes {
		tokens := n.distributor.tokens(n.reading(now).At, limit)
		whole += int(tokens)
		total += tokens
	}
	if float64(whole) > max(limit.Burst, 1) || total > max(limit.Burst, 1+limit.Burst/2)+1e-6 {
		t.Fatalf("at %s the distributors hold %d whole tokens, %.3f in all (%d nodes, %+v)", now, whole, total, len(nodes), limit)
	}
}

// tokens returns the tokens of the account with the limit.
func (d *Distributor) tokens(now time.Duration, limit Limit) float64 {
	d.advance(now)
	b := d.buckets[account]
	if b == nil {
		return d.unusedTokens(limit)
	}
	b.fill(d.shareSeconds, d.holding)
	return b.tokens
}

// checkSpans checks every span that begins and ends with a request. A permit may be used PermitValidity after it was granted.
func checkSpans(t *rapid.T, passed []time.Duration, limit Limit, nodes int) {
	for first := range passed {
		for last := first; last < len(passed); last += 7 {
			span := passed[last] - passed[first] + PermitValidity + testStep
			allowed := limit.PerSecond*span.Seconds() + max(limit.Burst, 1+limit.Burst/2) + 1e-6
			if count := last - first + 1; float64(count) > allowed {
				t.Fatalf("%d requests in %s, %.1f are allowed (%d nodes, %+v)", count, span, allowed, nodes, limit)
			}
		}
	}
}

// Guards against refusals below the limit while the nodes are calm.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	limit := Limit{PerSecond: 20, Burst: 10}
	random := rand.New(rand.NewPCG(1, 0))
	var nodes [30]*testNode
	for i := range nodes {
		nodes[i] = &testNode{id: model.NodeID(fmt.Sprint("n", i))}
		nodes[i].restart(-time.Minute)
	}
	for now := time.Duration(0); now < 3*time.Second; now += testStep {
		for _, n := range nodes {
			n.ask(now, nodes[0], len(nodes), limit, 0, random)
		}
	}
	refused := 0
	for now := 3 * time.Second; now < time.Minute; now += testStep {
		n := nodes[random.IntN(len(nodes))]
		for _, other := range nodes {
			if now%time.Second == 0 {
				other.ask(now, nodes[0], len(nodes), limit, 0, random)
			}
		}
		if _, ok := n.purse.Take(now); ok {
			continue
		}
		n.ask(now, nodes[0], len(nodes), limit, 1, random)
		if _, ok := n.purse.Take(now); !ok {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d requests at the rate of the limit were refused", refused)
	}
}

// Guards against a waiting time after which there is still no permit, and one that is longer than necessary.
func TestRefusedCallerIsToldWhenThereIsAPermit(t *testing.T) {
	d := NewDistributor(testLend)
	limit := Limit{PerSecond: 4, Burst: 2}
	d.Lend(0, Loan{Node: "n", Divisor: 1}, time.Hour)
	now := 10 * time.Second
	if grant := d.Take(now, account, limit, 2, 0); grant.Permits != 2 || grant.NextIn != 0 {
		t.Fatalf("the burst: %+v", grant)
	}
	grant := d.Take(now, account, limit, 3, 0)
	if grant.Permits != 0 || math.Abs((grant.NextIn-250*time.Millisecond).Seconds()) > 1e-6 {
		t.Fatalf("beyond the burst: %+v, want the next permit in 250 ms", grant)
	}
	if grant := d.Take(now+grant.NextIn, account, limit, 1, 0); grant.Permits != 1 {
		t.Errorf("at the time told: %+v", grant)
	}
}

// Guards against the tokens of a higher limit staying in use after it was lowered.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	d := NewDistributor(testLend)
	d.Lend(0, Loan{Node: "n", Divisor: 1}, time.Hour)
	d.Take(10*time.Second, account, Limit{PerSecond: 100, Burst: 100}, 0, 0)
	if grant := d.Take(10*time.Second, account, Limit{PerSecond: 2, Burst: 3}, 50, 0); grant.Permits > 3 {
		t.Errorf("%d permits from a burst of 3", grant.Permits)
	}
}

// Guards against a permit that is lost with a request that did not run, and one that is used after it has expired.
func TestPermitOfRequestThatDidNotRunIsUsedAgain(t *testing.T) {
	var p Purse
	p.Add(1, time.Second)
	permit, _ := p.Take(0)
	p.Return(500*time.Millisecond, permit)
	if _, ok := p.Take(900 * time.Millisecond); !ok {
		t.Error("the permit was lost")
	}
	p.Return(2*time.Second, permit)
	if _, ok := p.Take(2 * time.Second); ok {
		t.Error("a permit was used after it had expired")
	}
}

// Guards against an account that is refused at its first request because another node has taken its part back shortly before.
func TestUnusedAccountKeepsItsBurstWhenThePartsChange(t *testing.T) {
	d := NewDistributor(testLend)
	limit := Limit{PerSecond: 10, Burst: 10}
	for i := range 10 {
		d.Lend(0, Loan{Node: model.NodeID(fmt.Sprint("n", i)), Divisor: 10}, time.Hour)
	}
	d.TakeBack(10*time.Second, Loan{Node: "n0", Serial: 1})
	if grant := d.Take(10*time.Second, account, limit, 9, 0); grant.Permits != 9 {
		t.Errorf("%+v, want the 9 permits of nine tenths of the burst", grant)
	}
	if grant := d.Take(10*time.Second, account, limit, 1, 0); grant.Permits != 0 {
		t.Errorf("%+v beyond the share", grant)
	}
}
