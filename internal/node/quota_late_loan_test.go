package node

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
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
	account := quotaAccount(200, 20)
	testQuotas(t, account, func(t *testing.T, ctx context.Context, f *quotaTestFleet) {
		frozen := f.distributor(account.Name)
		wrapped := &frozenQuotaFleet{quotaTestFleet: f, frozen: frozen, kept: make(chan *peerv1.QuotaRequest, 1000)}
		f.route(wrapped)
		time.Sleep(10 * time.Second)
		f.lost[frozen].Store(true)
		woken := f.nodes[frozen]
		for range len(wrapped.kept) {
			woken.serve(<-wrapped.kept)
		}
		total := 0.0
		for _, q := range f.nodes {
			total += q.share(account.Name)
		}
		if total > 1.001 {
			t.Errorf("the nodes hold %.2f of the quota, the woken one %.2f", total, woken.share(account.Name))
		}
	})
}
