package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// Guards against a part that stays unused because the clock was set back between two starts of its node.
func TestPartOfANodeWhoseClockWasSetBackIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		account := quotaAccount(20, 20)
		f := newQuotaTestFleet(account)
		distributor := f.nodes[string(quota.Preferred(quota.SlotOf(account.Name), f.members().members))]
		node := f.nodes["n0"]
		if node == distributor {
			node = f.nodes["n1"]
		}
		for _, q := range f.nodes {
			if q != node {
				go q.run(ctx)
			}
		}
		for _, before := range []model.Incarnation{5, 3} {
			node.self.Incarnation = before
			process, end := context.WithCancel(ctx)
			go f.restarted(node).run(process)
			time.Sleep(10 * time.Second)
			if share := distributor.share(account.Name); share < 1-1e-9 {
				t.Errorf("incarnation %d: the distributor holds %.2f of the quota", before+1, share)
			}
			end()
			time.Sleep(time.Second)
		}
	})
}
