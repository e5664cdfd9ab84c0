package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// accountPurse is the purse of an account with the requests that wait for a permit.
type accountPurse struct {
	quota.Purse
	limit   quota.Limit
	waiting []chan permitResult
}

// serveWaiting gives the permits at hand to the first requests that wait, in the order of their arrival, and refuses the rest of them.
// Without a distributor, the node may lend its parts from the given time.
func (p *accountPurse) serveWaiting(now time.Duration, count int, mayLendAt time.Duration) {
	for ; len(p.waiting) > 0 && count > 0; count-- {
		waiter := p.waiting[0]
		p.waiting = p.waiting[1:]
		if permit, ok := p.Take(now); ok {
			waiter <- permitResult{permit: permit}
			continue
		}
		waiter <- permitResult{err: p.refusal(now, mayLendAt)}
	}
}

// refuseWaiting refuses all requests that wait, because the node has no distributor for the given time.
func (p *accountPurse) refuseWaiting(wait time.Duration) {
	for _, waiter := range p.waiting {
		waiter <- permitResult{err: quotaUnavailable(wait)}
	}
	p.waiting = nil
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
