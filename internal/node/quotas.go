package node

import (
	"context"
	"sync"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// quotas limits the requests of the client accounts at all nodes together. It is safe for concurrent use.
type quotas struct {
	self  model.Node
	clock clock
	peers quotaCaller
	log   *events.Log
	// fleet returns the fleet as this node knows it.
	fleet func() quotaFleet
	// limitOf returns the limit of an account in the configuration in force, false if it has none.
	limitOf func(model.AccountName) (quota.Limit, bool)
	// onFailure is called when a node did not answer.
	onFailure func(node model.NodeID, address string, cause error)
	// isNeeded reports whether an account of the configuration has a limit.
	isNeeded func() bool
	// mayBorrow reports whether this node takes the parts of others. A stopping node gives them back.
	mayBorrow func() bool

	mu    sync.Mutex
	slots [quota.Slots]*quotaSlot
}

// newQuotas returns the quotas of a node that starts now. An earlier process of the node may have lent its parts.
func newQuotas(self model.Node, c clock, peers quotaCaller, log *events.Log) *quotas {
	q := &quotas{self: self, clock: c, peers: peers, log: log}
	for i := range q.slots {
		q.slots[i] = newQuotaSlot(i)
	}
	return q
}

// limitOfAccount returns the limit of the account, false if it has none.
func limitOfAccount(account *declaration.Account) (quota.Limit, bool) {
	if account == nil || !account.IsLimited() {
		return quota.Limit{}, false
	}
	return quota.Limit{PerSecond: account.RatePerSecond, Burst: account.Burst}, true
}

// take returns a permit for a request of the account. It waits for the next call that asks for permits, and for the probe and the repeat of a
// lost call before it.
func (q *quotas) take(ctx context.Context, account *declaration.Account) (quota.Permit, *verdict.Error) {
	limit, limited := limitOfAccount(account)
	if !limited {
		return quota.Permit{}, nil
	}
	waiter, result := q.takeOrWait(account.Name, limit)
	if waiter == nil {
		return result.permit, result.err
	}
	select {
	case result := <-waiter:
		return result.permit, result.err
	case <-ctx.Done():
		q.leave(account.Name, waiter)
		return quota.Permit{}, endedBeforeDispatch(ctx)
	}
}

// takeOrWait returns the result for a request, or the channel that receives it.
func (q *quotas) takeOrWait(account model.AccountName, limit quota.Limit) (chan permitResult, permitResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.now()
	slot := q.slots[quota.SlotOf(account)]
	p := slot.purse(account, limit)
	p.Count(now)
	if permit, ok := p.Take(now); ok {
		return nil, permitResult{permit: permit}
	}
	if p.IsRefused(now) {
		return nil, permitResult{err: p.refusal(now, slot.lender.Until())}
	}
	waiter := make(chan permitResult, 1)
	p.waiting = append(p.waiting, waiter)
	q.startAsking(slot)
	return waiter, permitResult{}
}

// leave ends the wait of a request that has ended, and gives back a permit that it has received meanwhile.
func (q *quotas) leave(account model.AccountName, waiter chan permitResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.slots[quota.SlotOf(account)].purses[account]
	if p == nil {
		return
	}
	for i, other := range p.waiting {
		if other == waiter {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	select {
	case result := <-waiter:
		p.Return(q.clock.now(), result.permit)
	default:
	}
}

// giveBack returns the permit of a request that has not run.
func (q *quotas) giveBack(account *declaration.Account, permit quota.Permit) {
	limit, limited := limitOfAccount(account)
	if !limited {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots[quota.SlotOf(account.Name)].purse(account.Name, limit).Return(q.clock.now(), permit)
}
