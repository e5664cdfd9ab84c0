package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	quotaTestNodes = 10
	// quotaTestLatency is the time of one call between nodes.
	quotaTestLatency = 5 * time.Millisecond
)

// quotaTestFleet connects the quotas of several nodes without a network.
type quotaTestFleet struct {
	nodes map[string]*quotas
	lost  map[string]*atomic.Bool
	// avoided are the nodes that did not answer a call. The others no longer count on them.
	avoided map[string]*atomic.Bool
	// stopping is the node that takes no loans.
	stopping atomic.Pointer[string]
}

// Quota implements quotaCaller. The address of a node is its ID.
func (f *quotaTestFleet) Quota(_ context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	time.Sleep(quotaTestLatency)
	if f.lost[address].Load() {
		return nil, errors.New("no answer")
	}
	return f.nodes[address].serve(req), nil
}

// startQuotaTestFleet returns a fleet whose nodes lend their parts until ctx ends.
func startQuotaTestFleet(ctx context.Context, account *declaration.Account) *quotaTestFleet {
	f := newQuotaTestFleet(account)
	for _, q := range f.nodes {
		go q.run(ctx)
	}
	return f
}

// newQuotaTestFleet returns a fleet whose nodes have not begun to lend their parts.
func newQuotaTestFleet(account *declaration.Account) *quotaTestFleet {
	f := &quotaTestFleet{nodes: map[string]*quotas{}, lost: map[string]*atomic.Bool{}, avoided: map[string]*atomic.Bool{}}
	for i := range quotaTestNodes {
		id := fmt.Sprint("n", i)
		f.lost[id], f.avoided[id] = new(atomic.Bool), new(atomic.Bool)
	}
	for id := range f.lost {
		q := newQuotas(model.Node{ID: model.NodeID(id)}, newClock(), f, events.New(discardLog{}, time.Now))
		q.fleet = f.members
		q.onFailure = func(node model.NodeID, _ string, _ error) { f.avoided[string(node)].Store(true) }
		q.limitOf = func(model.AccountName) (quota.Limit, bool) { return limitOfAccount(account) }
		q.isNeeded = func() bool { return true }
		q.mayBorrow = func() bool { stopping := f.stopping.Load(); return stopping == nil || *stopping != id }
		f.nodes[id] = q
	}
	return f
}

// members returns the fleet as its nodes know it.
func (f *quotaTestFleet) members() quotaFleet {
	members := quotaFleet{addresses: map[model.NodeID]string{}, avoided: map[model.NodeID]bool{}}
	for id, avoided := range f.avoided {
		node := model.NodeID(id)
		members.members = append(members.members, node)
		members.addresses[node] = id
		members.eligible = append(members.eligible, node)
		members.avoided[node] = avoided.Load()
	}
	return members
}

// send sends requests of the account at the rate, at all nodes in turn, and counts their outcomes.
func (f *quotaTestFleet) send(account *declaration.Account, perSecond int, length time.Duration) map[verdict.Reason]int {
	outcomes := map[verdict.Reason]int{}
	for i := range int(length.Seconds() * float64(perSecond)) {
		id := fmt.Sprint("n", i%quotaTestNodes)
		if !f.lost[id].Load() {
			reason := verdict.Reason("")
			if _, err := f.nodes[id].take(context.Background(), account); err != nil {
				reason = err.Reason
			}
			outcomes[reason]++
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return outcomes
}

// distributor returns the node that distributes the quota of the account.
func (f *quotaTestFleet) distributor(account model.AccountName) string {
	q := f.nodes["n0"]
	q.mu.Lock()
	defer q.mu.Unlock()
	return string(q.slots[quota.SlotOf(account)].lender.Holder(0))
}

// lender returns a node that does not distribute the quota of the account.
func (f *quotaTestFleet) lender(account model.AccountName) *quotas {
	if f.distributor(account) == "n0" {
		return f.nodes["n1"]
	}
	return f.nodes["n0"]
}

// share returns the share of the account's quota that the node holds as a distributor.
func (q *quotas) share(account model.AccountName) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots[quota.SlotOf(account)].distributor.Share(q.clock.now())
}

// lentUntil returns the time until which the node has lent its parts of the account's quota.
func (q *quotas) lentUntil(account model.AccountName) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots[quota.SlotOf(account)].lender.Until()
}

// route sends the calls of all nodes through the caller.
func (f *quotaTestFleet) route(caller quotaCaller) {
	for _, q := range f.nodes {
		f.routeFrom(q, caller)
	}
}

// routeFrom sends the calls of one node through the caller.
func (f *quotaTestFleet) routeFrom(q *quotas, caller quotaCaller) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers = caller
}

// restarted returns the next process of the node. The fleet does not know it.
func (f *quotaTestFleet) restarted(old *quotas) *quotas {
	self := old.self
	self.Incarnation++
	q := newQuotas(self, newClock(), f, old.log)
	q.fleet, q.limitOf, q.isNeeded = old.fleet, old.limitOf, old.isNeeded
	q.mayBorrow, q.onFailure = old.mayBorrow, old.onFailure
	return q
}

// testQuotas runs a test with a fleet whose quotas have been lent.
func testQuotas(t *testing.T, account *declaration.Account, test func(t *testing.T, ctx context.Context, f *quotaTestFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		// Calls on their way end within quotaCallTimeout.
		defer time.Sleep(time.Second)
		defer cancel()
		f := startQuotaTestFleet(ctx, account)
		time.Sleep(10 * time.Second)
		test(t, ctx, f)
	})
}

// quotaAccount returns an account with the limit.
func quotaAccount(perSecond, burst float64) *declaration.Account {
	return &declaration.Account{Name: "a", RatePerSecond: perSecond, Burst: burst}
}
