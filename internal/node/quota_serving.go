package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// serve handles the call of a node that lends its parts to this one and asks for permits.
func (q *quotas) serve(request *peerv1.QuotaRequest) *peerv1.QuotaResponse {
	if request.Slot < 0 || request.Slot >= quota.Slots {
		return &peerv1.QuotaResponse{Declined: true}
	}
	isDeclined := request.Divisor > 0 && !q.mayBorrow()
	q.mu.Lock()
	defer q.mu.Unlock()
	clock := quota.ClockReading{Incarnation: q.self.Incarnation, At: q.clock.now()}
	response := &peerv1.QuotaResponse{Declined: isDeclined, Clock: quotaClockMessage(clock)}
	distributor := q.slots[request.Slot].distributor
	if request.TakeBack || isDeclined {
		distributor.TakeBack(clock.At, loanOf(request))
	} else if until, lends := loanEnd(clock, request); lends {
		distributor.Lend(clock.At, loanOf(request), until)
	}
	if !isDeclined {
		response.Grants = q.grants(clock.At, distributor, request)
	}
	return response
}

// grants returns the permits for the demands of the request. Accounts that have no limit here, or of which no permit can be granted from the
// parts lent now, are left out. q.mu is held.
func (q *quotas) grants(now time.Duration, distributor *quota.Distributor, request *peerv1.QuotaRequest) []*peerv1.QuotaGrant {
	var grants []*peerv1.QuotaGrant
	for _, demand := range request.Demands {
		account := model.AccountName(demand.Account)
		limit, limited := q.limitOf(account)
		if !limited || quota.SlotOf(account) != int(request.Slot) || !distributor.CanGrant(now, limit) {
			continue
		}
		grant := distributor.Take(now, account, limit, int(demand.Waiting), int(demand.Expected))
		grants = append(grants, &peerv1.QuotaGrant{
			Account: demand.Account, Permits: int32(grant.Permits), ValidMs: quota.PermitValidity.Milliseconds(),
			NextInMs: ceilMilliseconds(grant.NextIn),
		})
	}
	return grants
}

// loanOf returns the loan of the request, which may lend nothing.
func loanOf(request *peerv1.QuotaRequest) quota.Loan {
	return quota.Loan{
		Node: model.NodeID(request.Node), Incarnation: model.Incarnation(request.Incarnation), Divisor: int(request.Divisor),
		IsCasting: request.Casting, Serial: request.Serial,
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
