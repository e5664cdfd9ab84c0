package node

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// takePermit takes the permit of a request that counts for the quota of its account. All attempts of the request use it.
func (a *acceptor) takePermit(ctx context.Context, rq *request) *verdict.Error {
	if a.quotas == nil || rq.access.decision.Access != peerv1.Access_ACCESS_KEY {
		return nil
	}
	account := rq.access.decision.Account
	if _, limited := limitOfAccount(account); !limited {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	permit, refusal := a.quotas.take(ctx, account)
	if refusal != nil {
		return refusal
	}
	rq.permit, rq.limited = permit, account
	return nil
}

// returnPermit gives back the permit of a request that has not run.
func (a *acceptor) returnPermit(rq *request) {
	if rq.limited != nil {
		a.quotas.giveBack(rq.limited, rq.permit)
	}
}
