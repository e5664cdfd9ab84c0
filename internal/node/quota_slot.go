package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// quotaSlot is the state of one slot of accounts at a node, as a lender and as a distributor. quotas.mu guards it.
type quotaSlot struct {
	number      int
	lender      *quota.Lender
	distributor *quota.Distributor
	purses      map[model.AccountName]*accountPurse
	// asking means that a call to a distributor is on its way, or about to be made.
	asking bool
	// lentAt is the time of the last call that lent the parts and was answered.
	lentAt time.Duration
	// failedUntil are the nodes that did not answer, with the times until which they are left out.
	failedUntil map[model.NodeID]time.Duration
	// failures are the calls in a row that a node did not answer.
	failures map[model.NodeID]int
	// serial is that of the last call.
	serial uint64
}

// accountPurse is the purse of an account with the requests that wait for a permit.
type accountPurse struct {
	quota.Purse
	limit   quota.Limit
	waiting []chan permitResult
}

// permitResult ends the wait of a request.
type permitResult struct {
	permit quota.Permit
	err    *verdict.Error
}

// newQuotaSlot returns the slot of a node that starts at the time 0.
func newQuotaSlot(number int) *quotaSlot {
	return &quotaSlot{
		number: number, lender: quota.NewLender(0, quotaLoan), distributor: quota.NewDistributor(),
		purses: make(map[model.AccountName]*accountPurse), failedUntil: make(map[model.NodeID]time.Duration), failures: make(map[model.NodeID]int), lentAt: -quotaLoan,
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
	if _, known := fleet.addresses[holder]; !known || now < s.failedUntil[holder] {
		return quotaCall{}
	}
	if !hasHeard {
		return quotaCall{distributor: preferred, kind: quotaProbe}
	}
	return quotaCall{distributor: holder, kind: quotaTakeBack}
}

// candidates returns the nodes to which the parts may be lent.
func (s *quotaSlot) candidates(now time.Duration, fleet quotaFleet) []model.NodeID {
	candidates := make([]model.NodeID, 0, len(fleet.eligible))
	for _, id := range fleet.eligible {
		if now >= s.failedUntil[id] {
			candidates = append(candidates, id)
		}
	}
	return candidates
}

// recordFailure leaves out a node that did not answer two calls in a row. After the first one it is asked again: a single lost call
// should not take the parts away from a distributor that works.
func (s *quotaSlot) recordFailure(now time.Duration, node model.NodeID) {
	s.failures[node]++
	if s.failures[node] >= maxQuotaFailures {
		s.failedUntil[node] = now + quotaFailureBackoff
		delete(s.failures, node)
	}
}

// serveWaiting gives the permits at hand to the requests that wait, in the order of their arrival, and refuses the others.
func (s *quotaSlot) serveWaiting(now time.Duration, account model.AccountName, asked int) {
	p := s.purses[account]
	for len(p.waiting) > 0 && asked > 0 {
		asked--
		waiter := p.waiting[0]
		p.waiting = p.waiting[1:]
		if permit, ok := p.Take(now); ok {
			waiter <- permitResult{permit: permit}
			continue
		}
		waiter <- permitResult{err: p.refusal(now, s.lender.Until())}
	}
}

// refuseWaiting refuses all requests that wait, because the node has no distributor before the given time.
func (s *quotaSlot) refuseWaiting(now, until time.Duration) {
	for _, p := range s.purses {
		for _, waiter := range p.waiting {
			waiter <- permitResult{err: quotaUnavailable(until - now)}
		}
		p.waiting = nil
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

// refusal returns the refusal of a request without a permit. Without a distributor, the node may lend its parts from the given time.
func (p *accountPurse) refusal(now, mayLendAt time.Duration) *verdict.Error {
	if !p.IsRefused(now) {
		return quotaUnavailable(mayLendAt - now)
	}
	err := verdict.Refused(verdict.QuotaExceeded, nil)
	err.RetryAfter = p.Refuse(now, p.limit)
	return err
}

func quotaUnavailable(wait time.Duration) *verdict.Error {
	err := verdict.Refused(verdict.QuotaUnavailable, nil)
	err.RetryAfter = max(wait, 0)
	return err
}
