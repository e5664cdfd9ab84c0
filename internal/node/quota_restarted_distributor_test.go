package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// restartedQuotaFleet hands the calls to one node to its next process.
type restartedQuotaFleet struct {
	*quotaTestFleet
	restarted *quotas
}

func (f *restartedQuotaFleet) Quota(ctx context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	if address == string(f.restarted.self.ID) {
		time.Sleep(quotaTestLatency)
		return f.restarted.serve(req), nil
	}
	return f.quotaTestFleet.Quota(ctx, address, req)
}

// Guards against requests without a distributor, or a loan of the process before, when a distributor restarts within a loan.
func TestRestartedDistributorIsLentThePartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		account := &declaration.Account{Name: "a", RatePerSecond: 20, Burst: 20}
		f := startQuotaTestFleet(ctx, account)
		time.Sleep(10 * time.Second)
		old := f.nodes[f.distributor(account.Name)]
		self := old.self
		self.Incarnation++
		restarted := newQuotas(self, newClock(), f, old.log)
		restarted.fleet, restarted.limitOf, restarted.isNeeded = old.fleet, old.limitOf, old.isNeeded
		restarted.mayBorrow, restarted.onFailure = old.mayBorrow, old.onFailure
		wrapped := &restartedQuotaFleet{quotaTestFleet: f, restarted: restarted}
		asked := 0
		for id, q := range f.nodes {
			if q == old {
				continue
			}
			q.mu.Lock()
			q.peers = wrapped
			q.mu.Unlock()
			if _, err := q.take(ctx, account); err != nil && err.Reason == verdict.QuotaUnavailable {
				t.Errorf("a request at %s: %v", id, err)
			}
			asked++
			restarted.mu.Lock()
			share := restarted.slots[quota.SlotOf(account.Name)].distributor.Share(restarted.clock.now())
			restarted.mu.Unlock()
			if want := float64(asked) / quotaTestNodes; share < want-1e-9 {
				t.Errorf("after %d calls the restarted distributor holds %.2f of the quota", asked, share)
			}
		}
	})
}
