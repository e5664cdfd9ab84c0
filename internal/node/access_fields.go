package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

// accessFields returns the fields that trace the decision on the access of a request: its account, why it may run, and the revision
// of the configuration that said so.
func accessFields(rq *request) []events.Field {
	account, decision := model.AccountName(rq.head.Account), rq.head.Access
	if rq.access != nil {
		account, decision = rq.access.decision.AccountName(), rq.access.decision.Access
	}
	return []events.Field{
		events.AccountField(account), events.AccessField(accessName(decision)), events.AccessRevisionField(rq.access.decidedAt()),
	}
}

// decidedAt returns the revision of the newest configuration on which the access was decided, 0 if another node has decided.
func (ra *requestAccess) decidedAt() int64 {
	if ra == nil {
		return 0
	}
	return ra.revision.Load()
}

// accessName returns the decision as operators see it, "" for none.
func accessName(access peerv1.Access) string {
	switch access {
	case peerv1.Access_ACCESS_OPEN:
		return "open"
	case peerv1.Access_ACCESS_KEY:
		return "key"
	case peerv1.Access_ACCESS_NESTED:
		return "nested"
	}
	return ""
}
