package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// quotaSlot is the state of one slot of accounts at a node, as a lender and as a distributor. quotas.mu guards it.
type quotaSlot struct {
	number      int
	lender      *quota.Lender
	distributor *quota.Distributor
	purses      map[model.AccountName]*accountPurse
	failures    quotaFailures
	// asking means that a call to a distributor is on its way, or about to be made.
	asking bool
	// lentAt is the time of the last call that lent the parts and was answered.
	lentAt time.Duration
	// serial is that of the last call.
	serial uint64
}

// newQuotaSlot returns the slot of a node that starts at the time 0.
func newQuotaSlot(number int) *quotaSlot {
	return &quotaSlot{
		number: number, lender: quota.NewLender(0, quotaLoan), distributor: quota.NewDistributor(quotaLoan),
		purses: make(map[model.AccountName]*accountPurse), failures: newQuotaFailures(), lentAt: -quotaLoan,
	}
}

// purse returns the purse of the account with its newest limit.
func (s *quotaSlot) purse(account model.AccountName, limit quota.Limit) *accountPurse {
	p := s.purses[account]
	if p == nil {
		p = &accountPurse{}
		s.purses[account] = p
	}
	p.limit = limit
	return p
}

// hasWaiting reports whether a request waits for a permit.
func (s *quotaSlot) hasWaiting() bool {
	for _, p := range s.purses {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// choose returns the next call, one without a distributor if there is none now. The parts stay where they are until the node that is
// to have them has told its clock.
func (s *quotaSlot) choose(now time.Duration, fleet quotaFleet, self model.NodeID) quotaCall {
	candidates := s.candidates(now, fleet)
	isLast := len(candidates) == 0
	if isLast {
		candidates = []model.NodeID{self}
	}
	preferred := quota.Preferred(s.number, candidates)
	mayLend, hasHeard := s.lender.MayLendTo(now, preferred), s.lender.HasHeard(now, preferred)
	if mayLend && hasHeard {
		return quotaCall{distributor: preferred, kind: quotaLend, isLast: isLast}
	}
	if mayLend {
		return quotaCall{distributor: preferred, kind: quotaProbe, isLast: isLast}
	}
	holder := s.lender.Holder(now)
	if holder == "" {
		return quotaCall{distributor: preferred, kind: quotaAsk}
	}
	if _, known := fleet.addresses[holder]; !known || s.failures.isLeftOut(now, holder) {
		return quotaCall{}
	}
	if !hasHeard {
		return quotaCall{distributor: preferred, kind: quotaProbe}
	}
	return quotaCall{distributor: holder, kind: quotaTakeBack}
}

// candidates returns the nodes to which the parts may be lent. The one that has them stays a candidate until it is left out.
func (s *quotaSlot) candidates(now time.Duration, fleet quotaFleet) []model.NodeID {
	candidates := make([]model.NodeID, 0, len(fleet.eligible))
	holder := s.lender.Holder(now)
	for _, id := range fleet.eligible {
		if !s.failures.isLeftOut(now, id) && (!fleet.avoided[id] || id == holder) {
			candidates = append(candidates, id)
		}
	}
	return candidates
}

// request returns the message of a call, with the demands of all accounts of the slot if the receiver can grant permits.
func (s *quotaSlot) request(now time.Duration, self model.Node, fleet quotaFleet, call quotaCall) *peerv1.QuotaRequest {
	s.serial++
	request := &peerv1.QuotaRequest{
		Node: string(self.ID), Incarnation: uint64(self.Incarnation), Slot: int32(s.number), Serial: s.serial,
		TakeBack: call.kind == quotaTakeBack,
	}
	if call.kind == quotaLend {
		request.Divisor, request.LendMs = int32(len(fleet.members)), quotaLoan.Milliseconds()
		request.Casting = quota.Preferred(s.number, fleet.members) == self.ID
		request.Echo = quotaClockMessage(s.lender.Lend(call.distributor))
	}
	if call.kind.asksForPermits() {
		request.Demands = s.demands(now)
	}
	return request
}

// demands returns what the accounts with requests that wait need.
func (s *quotaSlot) demands(now time.Duration) []*peerv1.QuotaDemand {
	var demands []*peerv1.QuotaDemand
	for account, p := range s.purses {
		if len(p.waiting) > 0 {
			demands = append(demands, &peerv1.QuotaDemand{
				Account: string(account), Waiting: int32(len(p.waiting)), Expected: int32(p.Expected(now)),
			})
		}
	}
	return demands
}

// record records what a call that has ended means for the distributor and for the parts of this node.
func (s *quotaSlot) record(x quotaExchange) {
	distributor := x.call.distributor
	switch {
	case x.response == nil:
		s.failures.unanswered(x.ended, distributor)
	case x.response.Declined, x.response.Clock == nil:
		// A node of a build that tells no clock takes no loans either.
		s.failures.leaveOut(x.ended, distributor)
	default:
		s.failures.answered(distributor)
	}
	if clock := x.response.GetClock(); clock != nil {
		s.lender.Hear(x.ended, distributor, quotaClock(clock))
	}
	if x.hasReturned() {
		s.lender.TakenBack(x.ended)
	}
	if x.hasLent() {
		s.lentAt = x.asked
	}
}

// isUnlent reports whether no distributor has the parts of this node.
func (s *quotaSlot) isUnlent(now time.Duration) bool { return s.lender.Holder(now) == "" }

// apply gives the granted permits to the requests that wait. The permits are valid from the time at which they were asked for.
func (s *quotaSlot) apply(x quotaExchange) {
	grants := make(map[string]*peerv1.QuotaGrant, len(x.response.Grants))
	for _, grant := range x.response.Grants {
		grants[grant.Account] = grant
	}
	for _, demand := range x.request.Demands {
		p := s.purses[model.AccountName(demand.Account)]
		if p == nil {
			continue
		}
		if grant := grants[demand.Account]; grant != nil {
			p.Add(int(min(grant.Permits, demand.Waiting+demand.Expected)), x.asked+time.Duration(grant.ValidMs)*time.Millisecond)
			if grant.NextInMs > 0 {
				p.RefuseFor(x.ended, time.Duration(grant.NextInMs)*time.Millisecond)
			}
		}
		p.serveWaiting(x.ended, int(demand.Waiting), s.lender.Until())
	}
}

// refuseWaiting refuses all requests that wait, because the node has no distributor before the given time.
func (s *quotaSlot) refuseWaiting(now, until time.Duration) {
	for _, p := range s.purses {
		p.refuseWaiting(until - now)
	}
}

// forgetIdle drops the purses that hold nothing.
func (s *quotaSlot) forgetIdle(now time.Duration) {
	for account, p := range s.purses {
		if len(p.waiting) == 0 && p.IsIdle(now) {
			delete(s.purses, account)
		}
	}
}
