package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// frozenQuotaFleet keeps the calls to one node while it is frozen and hands them over when it wakes.
type frozenQuotaFleet struct {
	*quotaTestFleet
	frozen string
	kept   chan *peerv1.QuotaRequest
}

func (f *frozenQuotaFleet) Quota(ctx context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	if address == f.frozen {
		f.kept <- req
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.quotaTestFleet.Quota(ctx, address, req)
}

// Guards against parts that are used twice because a frozen distributor handles the calls it has missed when it wakes.
func TestFrozenDistributorTakesNoLateLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		// Calls on their way end within quotaCallTimeout.
		defer time.Sleep(time.Second)
		defer cancel()
		account := &declaration.Account{Name: "a", RatePerSecond: 200, Burst: 20}
		f := startQuotaTestFleet(ctx, account)
		time.Sleep(10 * time.Second)
		frozen := f.distributor(account.Name)
		wrapped := &frozenQuotaFleet{quotaTestFleet: f, frozen: frozen, kept: make(chan *peerv1.QuotaRequest, 1000)}
		for _, q := range f.nodes {
			q.mu.Lock()
			q.peers = wrapped
			q.mu.Unlock()
		}
		time.Sleep(10 * time.Second)
		slot := quota.SlotOf(account.Name)
		f.lost[frozen].Store(true)
		woken := f.nodes[frozen]
		for range len(wrapped.kept) {
			woken.serve(<-wrapped.kept)
		}
		woken.mu.Lock()
		share := woken.slots[slot].distributor.Share(woken.clock.now())
		woken.mu.Unlock()
		total := share
		for id, q := range f.nodes {
			if id != frozen {
				q.mu.Lock()
				total += q.slots[slot].distributor.Share(q.clock.now())
				q.mu.Unlock()
			}
		}
		if total > 1.001 {
			t.Errorf("the nodes hold %.2f of the quota, the woken one %.2f", total, share)
		}
	})
}
