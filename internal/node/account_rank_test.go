package node

import (
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/access"
	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against queues that serve an account with the rank of the route instead of its own, also if its own is the most urgent.
func TestRankOfAccountReplacesThatOfTheRoute(t *testing.T) {
	route, mostUrgent := &declaration.Route{Rank: 2}, 0
	for want, account := range map[int32]*declaration.Account{2: nil, 0: {Name: "a1", Rank: &mostUrgent}} {
		head := &peerv1.ForwardHead{Rank: 7}
		applyAccess(head, route, access.Decision{Access: peerv1.Access_ACCESS_KEY, Account: account})
		if head.Rank != want {
			t.Errorf("rank %d, want %d", head.Rank, want)
		}
	}
	head := new(peerv1.ForwardHead)
	applyAccess(head, route, access.Decision{Access: peerv1.Access_ACCESS_KEY, Account: &declaration.Account{Name: "a1"}})
	if head.Rank != 2 {
		t.Errorf("account without a rank: rank %d, want that of the route", head.Rank)
	}
}
