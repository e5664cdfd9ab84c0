package node

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
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
	account := quotaAccount(20, 20)
	testQuotas(t, account, func(t *testing.T, ctx context.Context, f *quotaTestFleet) {
		old := f.nodes[f.distributor(account.Name)]
		restarted := f.restarted(old)
		f.route(&restartedQuotaFleet{quotaTestFleet: f, restarted: restarted})
		asked := 0
		for id, q := range f.nodes {
			if q == old {
				continue
			}
			if _, err := q.take(ctx, account); err != nil && err.Reason == verdict.QuotaUnavailable {
				t.Errorf("a request at %s: %v", id, err)
			}
			asked++
			share := restarted.share(account.Name)
			if want := float64(asked) / quotaTestNodes; share < want-1e-9 {
				t.Errorf("after %d calls the restarted distributor holds %.2f of the quota", asked, share)
			}
		}
	})
}
