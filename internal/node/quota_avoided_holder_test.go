package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// avoidingFleet makes the node avoid others after one failed call, as the paths of a node do.
func (f *quotaTestFleet) avoidingFleet(q *quotas) {
	members := &membership.Snapshot{Members: map[model.NodeID]membership.Member{}}
	for _, id := range f.members().members {
		record := &model.NodeRecord{Node: model.Node{ID: id, PeerAddress: string(id)}}
		members.Members[id] = membership.Member{Record: record, State: membership.Alive}
	}
	paths := newPaths()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet = func() quotaFleet { return newQuotaFleet(q.self, members, paths.avoided()) }
	q.onFailure = func(node model.NodeID, address string, _ error) {
		paths.recordFailure(q.clock.now(), model.Node{ID: node, PeerAddress: address})
	}
}

// Guards against a node that refuses everything after one lost call to a distributor that works, because it avoids the path.
func TestAvoidedPathRefusesNothingOfALentQuota(t *testing.T) {
	account := quotaAccount(100, 100)
	testQuotas(t, account, func(t *testing.T, ctx context.Context, f *quotaTestFleet) {
		d, q := f.distributor(account.Name), f.lender(account.Name)
		f.avoidingFleet(q)
		f.lost[d].Store(true)
		short, cancel := context.WithTimeout(ctx, 8*time.Millisecond)
		defer cancel()
		_, _ = q.take(short, account)
		f.lost[d].Store(false)
		outcomes := map[string]int{}
		for range 100 {
			_, err := q.take(ctx, account)
			outcomes[fmt.Sprint(err)]++
			time.Sleep(15 * time.Millisecond)
		}
		if outcomes["<nil>"] != 100 {
			t.Errorf("%v after one lost call, want 100 that pass", outcomes)
		}
	})
}
