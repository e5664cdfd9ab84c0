package access

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Decision lets a request run.
type Decision struct {
	Access peerv1.Access
	// Account is the client account of the request, nil if it has none.
	Account *declaration.Account
}

// AccountName returns the name of the client account, "" without one.
func (d Decision) AccountName() model.AccountName {
	if d.Account == nil {
		return ""
	}
	return d.Account.Name
}

// Decide returns the decision on a request, or its refusal.
func Decide(r Request) (Decision, *verdict.Error) {
	known := knownAccount(r)
	switch {
	case r.BindsAccount && r.Credential.kind == oneKey && known == nil:
		// Its account may have been or become another one, and the operation with it.
		return Decision{}, verdict.Refused(refusalReason(r), nil)
	case !r.RequiresKey:
		return Decision{Access: peerv1.Access_ACCESS_OPEN, Account: known}, nil
	case known != nil:
		return Decision{Access: peerv1.Access_ACCESS_KEY, Account: known}, nil
	case r.Credential.IsEmpty() && r.Parent == ParentRunning:
		return Decision{Access: peerv1.Access_ACCESS_NESTED}, nil
	}
	return Decision{}, verdict.Refused(refusalReason(r), nil)
}

// Renew decides again on a request that an earlier configuration has let run, before it is sent to a target. A request that a run
// has sent stays one, also after the end of that run. A key that another account has received meanwhile is not refused for good:
// the request belongs to neither account. On a route that requires no key, this holds only for a request that binds its account.
func Renew(r Request, earlier Decision) (Decision, *verdict.Error) {
	if earlier.Access == peerv1.Access_ACCESS_NESTED {
		r.Parent = ParentRunning
	}
	decision, refusal := Decide(r)
	if refusal != nil {
		return decision, refusal
	}
	if decision.AccountName() != earlier.AccountName() && isBound(r, decision, earlier) {
		return Decision{}, verdict.Refused(verdict.AccountsUnknown, nil)
	}
	return decision, nil
}

// isBound reports whether the request must not run for another account than the one that it was accepted for.
func isBound(r Request, decision, earlier Decision) bool {
	return r.BindsAccount || decision.Access == peerv1.Access_ACCESS_KEY && earlier.Account != nil
}

// IsRefusal reports whether the reason is that of a refusal by Decide or Renew. It holds for all targets.
func IsRefusal(reason verdict.Reason) bool {
	switch reason {
	case verdict.APIKeyRequired, verdict.APIKeyUnknown, verdict.AccountsUnknown:
		return true
	}
	return false
}

// knownAccount returns the account that has the only API key of the request, nil if there is none.
func knownAccount(r Request) *declaration.Account {
	if r.Credential.kind != oneKey || r.Finding.Status != account.Known {
		return nil
	}
	return r.Finding.Account
}

func refusalReason(r Request) verdict.Reason {
	switch {
	case !r.Configured, r.Credential.IsEmpty() && r.Parent == ParentUnknown:
		return verdict.AccountsUnknown
	case r.Credential.kind != oneKey:
		return verdict.APIKeyRequired
	case r.Finding.Status == account.Unknown:
		return verdict.APIKeyUnknown
	}
	return verdict.AccountsUnknown
}
