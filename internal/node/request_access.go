package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/access"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// requestAccess is the decision on the access of a request when it arrived, with what it takes to decide again.
type requestAccess struct {
	decision   access.Decision
	credential access.Credential
	parent     access.Parent
	// parentEnds is the deadline of the run that has sent the request, on the clock of the node; 0 if there is none.
	parentEnds time.Duration
	// bindsAccount means that the account is part of the operation that the request names (access.Request).
	bindsAccount bool
	// view is the one of the decision.
	view               *core.View
	host, method, path string
	// revision is that of the newest configuration on which the access was decided.
	revision atomic.Int64
}

// newRequestAccess decides on the access of a request that has arrived. It takes the API key out of the header, so that nothing
// later can log or forward it. A refusal leaves the decision empty.
func (a *acceptor) newRequestAccess(r *http.Request, view *core.View, match *routing.Match, id string) (*requestAccess, *verdict.Error) {
	ra := &requestAccess{
		credential:   access.NewCredential(headers.Values(r.Header, a.dialect.KeyHeader)),
		bindsAccount: a.namesOperation(r, match.Route),
		view:         view, host: r.Host, method: r.Method, path: routing.PathOf(requestURI(r)),
	}
	headers.Delete(r.Header, a.dialect.KeyHeader)
	ra.revision.Store(view.Revision)
	if ra.credential.IsEmpty() {
		ra.parent, ra.parentEnds = a.parentOf(id)
	}
	var refusal *verdict.Error
	ra.decision, refusal = access.Decide(ra.input(view, match.Route))
	return ra, refusal
}

// namesOperation reports whether the request has an idempotency key or a ticket by which callers send it again.
func (a *acceptor) namesOperation(r *http.Request, route *declaration.Route) bool {
	if a.dialect.UniqueRequestIDs || route.ClassOf(r.Method) == declaration.Idempotent {
		return false
	}
	return r.Header.Get(headerKey) != "" || r.Header.Get(headerTicket) != ""
}

// renew returns the decision for an attempt, on the newest view. Only a changed configuration can change it.
func (ra *requestAccess) renew(view *core.View) (access.Decision, *verdict.Error) {
	ra.revision.Store(view.Revision)
	if view.Table == ra.view.Table && view.Accounts == ra.view.Accounts {
		return ra.decision, nil
	}
	match := view.Table.Match(ra.host, ra.method, ra.path)
	if match == nil {
		// The route has been removed. What it required holds for the requests that it has accepted.
		match = ra.view.Table.Match(ra.host, ra.method, ra.path)
	}
	if refusal := match.Refusal(); refusal != nil {
		return access.Decision{}, refusal
	}
	return access.Renew(ra.input(view, match.Route), ra.decision)
}

// input returns what decides on the access to the route.
func (ra *requestAccess) input(view *core.View, route *declaration.Route) access.Request {
	in := access.Request{
		RequiresKey: route.RequiresKey, Credential: ra.credential, Parent: ra.parent, Configured: view.Accounts != nil,
		BindsAccount: ra.bindsAccount,
	}
	if hash, ok := ra.credential.Hash(); ok {
		in.Finding = view.Accounts.Find(hash)
	}
	return in
}

// parentOf returns what this node knows of the run that has sent a request with the ID. Each part of the ID before a separator may
// be the ID of that run. ends is the deadline of the run.
func (a *acceptor) parentOf(id string) (parent access.Parent, ends time.Duration) {
	separator := a.dialect.CallSeparator
	if separator == "" || !strings.Contains(id, separator) {
		return access.NoParent, 0
	}
	for end := strings.LastIndex(id, separator); end > 0; end = strings.LastIndex(id[:end], separator) {
		if ends, running := a.admitter.mayRun(id[:end]); running {
			return access.ParentRunning, ends
		}
	}
	if a.earlierRuns.mayGoOn(a.clock.now()) {
		return access.ParentUnknown, 0
	}
	return access.ParentAbsent, 0
}

// endsWithParent returns the time that a nested request may take, which is no longer than the run that has sent it.
func (a *acceptor) endsWithParent(rq *request, timeout time.Duration) time.Duration {
	if rq.access.parent != access.ParentRunning {
		return timeout
	}
	return max(min(timeout, rq.access.parentEnds-a.clock.now()), 0)
}

// applyAccess sets the fields of a head that depend on the decision.
func applyAccess(head *peerv1.ForwardHead, route *declaration.Route, decision access.Decision) {
	head.Access = decision.Access
	head.Account = string(decision.AccountName())
	head.Rank = int32(rankOf(route, decision))
}

// rankOf returns the rank of a request: that of its account if it has one, otherwise that of the route.
func rankOf(route *declaration.Route, decision access.Decision) int {
	if decision.Account != nil && decision.Account.Rank != nil {
		return *decision.Account.Rank
	}
	return route.Rank
}

// renewAccess decides again on the access of a request before it is sent to a target, and sets the decision in the head of the
// attempt. A request that another node has accepted keeps that node's decision.
func (a *acceptor) renewAccess(rq *request, head *peerv1.ForwardHead) *verdict.Error {
	if rq.access == nil {
		return nil
	}
	decision, refusal := rq.access.renew(a.view.Load())
	if refusal != nil {
		return refusal
	}
	applyAccess(head, rq.match.Route, decision)
	return nil
}
