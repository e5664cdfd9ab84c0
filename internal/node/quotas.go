package node

import (
	"context"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// quotaLoan is the time from the echoed clock for which a node lends its parts. A node that loses the distributor is without permits
	// for so long. A loan echoes the answer to the one before, so that half of it is left when it begins.
	quotaLoan = 2 * time.Second
	// quotaRenewal is the time after which a node that needs no permits lends its parts again.
	quotaRenewal = 750 * time.Millisecond
	// quotaTick is the time between two checks whether parts are to be lent again.
	quotaTick = quotaRenewal / 2
	// quotaCallTimeout bounds a call to a distributor.
	quotaCallTimeout = 500 * time.Millisecond
	// maxQuotaFailures is the number of calls in a row without an answer after which a distributor is left out.
	maxQuotaFailures = 2
	// quotaFailureBackoff is the time for which a distributor that did not answer is left out. It is longer than a loan, so that the
	// parts are lent elsewhere in between.
	quotaFailureBackoff = quotaLoan + quotaCallTimeout
)

// quotaCaller sends the calls to the distributors at other nodes.
type quotaCaller interface {
	Quota(ctx context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error)
}

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

// take returns a permit for a request of the account. It waits for one call to a distributor at most.
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

// run lends the parts of this node again in time.
func (q *quotas) run(ctx context.Context) {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			q.renew()
		case <-ctx.Done():
			return
		}
	}
}

// renew lends the parts of the slots that have not been lent for quotaRenewal, to the nearest quotaTick.
func (q *quotas) renew() {
	if !q.isNeeded() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.now()
	for _, slot := range q.slots {
		slot.forgetIdle(now)
		slot.distributor.Keep(func(account model.AccountName) bool { _, limited := q.limitOf(account); return limited })
		if now-slot.lentAt >= quotaRenewal-quotaTick/2 {
			q.startAsking(slot)
		}
	}
}

// startAsking starts the calls for a slot unless they are being made. q.mu is held.
func (q *quotas) startAsking(slot *quotaSlot) {
	if slot.asking {
		return
	}
	slot.asking = true
	go q.ask(slot)
}

// ask calls distributors until no request of the slot waits.
func (q *quotas) ask(slot *quotaSlot) {
	for q.askOnce(slot) {
	}
}

// askOnce makes one call and reports whether another one is needed.
func (q *quotas) askOnce(slot *quotaSlot) bool {
	fleet := q.fleet()
	q.mu.Lock()
	now := q.clock.now()
	next := slot.choose(now, fleet, q.self.ID)
	if next.distributor == "" {
		slot.refuseWaiting(now, slot.lender.Until())
		slot.asking = false
		q.mu.Unlock()
		return false
	}
	request := slot.request(now, q.self, fleet, next)
	q.mu.Unlock()
	response, err := q.call(next.distributor, fleet.addresses[next.distributor], request)
	if err != nil {
		q.onFailure(next.distributor, fleet.addresses[next.distributor], err)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	ended := q.clock.now()
	lentNothing := next.lentNothing(request, response)
	slot.recordCall(ended, next, response)
	if next.kind == quotaLend && response != nil && !response.Declined && !lentNothing {
		slot.lentAt = now
	}
	switch {
	case err != nil:
		q.log.Emit(events.QuotaCallFailed, events.NodeField(next.distributor), events.CountField(slot.number))
	case response.Declined && next.isLast:
		slot.refuseWaiting(ended, ended)
	case !response.Declined && !lentNothing:
		slot.apply(ended, now, request, response)
	}
	slot.asking = lentNothing && slot.lender.MayLendTo(ended, next.distributor) || slot.hasWaiting()
	return slot.asking
}

// recordCall records what a call means for the parts of this node. response is nil if there was none.
func (s *quotaSlot) recordCall(ended time.Duration, call quotaCall, response *peerv1.QuotaResponse) {
	switch {
	case response == nil:
		s.recordFailure(ended, call.distributor)
	case response.Declined, response.Clock == nil:
		// A node of a build that tells no clock takes no loans either.
		s.failedUntil[call.distributor] = ended + quotaFailureBackoff
	default:
		delete(s.failedUntil, call.distributor)
		delete(s.failures, call.distributor)
	}
	if response == nil {
		return
	}
	if response.Clock != nil {
		s.lender.Hear(ended, call.distributor, quotaClock(response.Clock))
	}
	if call.kind == quotaLend && response.Declined || call.kind == quotaTakeBack {
		s.lender.TakenBack(ended)
	}
}

// call sends the request to the distributor, which may be this node.
func (q *quotas) call(distributor model.NodeID, address string, request *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	if distributor == q.self.ID {
		return q.serve(request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), quotaCallTimeout)
	defer cancel()
	return q.peers.Quota(ctx, address, request)
}

// request returns the message of a call, with the demands of all accounts of the slot if the receiver can grant permits.
func (s *quotaSlot) request(now time.Duration, self model.Node, fleet quotaFleet, call quotaCall) *peerv1.QuotaRequest {
	s.serial++
	request := &peerv1.QuotaRequest{
		Node: string(self.ID), Incarnation: uint64(self.Incarnation), Slot: int32(s.number), Serial: s.serial,
	}
	if call.kind == quotaLend {
		request.Divisor, request.LendMs = int32(len(fleet.members)), quotaLoan.Milliseconds()
		request.Casting = quota.Preferred(s.number, fleet.members) == self.ID
		request.Echo = quotaClockMessage(s.lender.Lend(call.distributor))
	}
	request.TakeBack = call.kind == quotaTakeBack
	if call.kind != quotaLend && call.kind != quotaAsk {
		return request
	}
	for account, p := range s.purses {
		if len(p.waiting) > 0 {
			request.Demands = append(request.Demands, &peerv1.QuotaDemand{
				Account: string(account), Waiting: int32(len(p.waiting)), Expected: int32(p.Expected(now)),
			})
		}
	}
	return request
}

// apply gives the granted permits to the requests that wait. The permits are valid from the time at which they were asked for.
func (s *quotaSlot) apply(now, asked time.Duration, request *peerv1.QuotaRequest, response *peerv1.QuotaResponse) {
	grants := make(map[string]*peerv1.QuotaGrant, len(response.Grants))
	for _, grant := range response.Grants {
		grants[grant.Account] = grant
	}
	for _, demand := range request.Demands {
		account := model.AccountName(demand.Account)
		p := s.purses[account]
		if p == nil {
			continue
		}
		if grant := grants[demand.Account]; grant != nil {
			p.Add(int(min(grant.Permits, demand.Waiting+demand.Expected)), asked+time.Duration(grant.ValidMs)*time.Millisecond)
			if grant.NextInMs > 0 {
				p.RefuseFor(now, time.Duration(grant.NextInMs)*time.Millisecond)
			}
		}
		s.serveWaiting(now, account, int(demand.Waiting))
	}
}

// loanEnd returns the time at which the loan of the request ends at the node with the clock, false if the request lends nothing.
func loanEnd(clock quota.ClockReading, request *peerv1.QuotaRequest) (time.Duration, bool) {
	if request.Divisor <= 0 || request.Echo == nil {
		return 0, false
	}
	return clock.LoanEnd(quotaClock(request.Echo), min(time.Duration(request.LendMs)*time.Millisecond, quotaLoan))
}

// ceilMilliseconds rounds up, so that a caller does not come too early.
func ceilMilliseconds(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// serve handles the call of a node that lends its parts to this one and asks for permits.
func (q *quotas) serve(request *peerv1.QuotaRequest) *peerv1.QuotaResponse {
	if request.Slot < 0 || request.Slot >= quota.Slots {
		return &peerv1.QuotaResponse{Declined: true}
	}
	response := &peerv1.QuotaResponse{Declined: request.Divisor > 0 && !q.mayBorrow()}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.now()
	clock := quota.ClockReading{Incarnation: q.self.Incarnation, At: now}
	response.Clock = quotaClockMessage(clock)
	distributor := q.slots[request.Slot].distributor
	loan := quota.Loan{
		Node: model.NodeID(request.Node), Incarnation: model.Incarnation(request.Incarnation), Divisor: int(request.Divisor),
		IsCasting: request.Casting, Serial: request.Serial,
	}
	if request.TakeBack || response.Declined {
		distributor.TakeBack(now, loan)
	} else if until, lends := loanEnd(clock, request); lends {
		distributor.Lend(now, loan, until)
	}
	if response.Declined {
		return response
	}
	for _, demand := range request.Demands {
		account := model.AccountName(demand.Account)
		limit, limited := q.limitOf(account)
		if !limited || quota.SlotOf(account) != int(request.Slot) || !distributor.CanGrant(now, limit) {
			continue
		}
		grant := distributor.Take(now, account, limit, int(demand.Waiting), int(demand.Expected))
		response.Grants = append(response.Grants, &peerv1.QuotaGrant{
			Account: demand.Account, Permits: int32(grant.Permits), ValidMs: quota.PermitValidity.Milliseconds(),
			NextInMs: ceilMilliseconds(grant.NextIn),
		})
	}
	return response
}
