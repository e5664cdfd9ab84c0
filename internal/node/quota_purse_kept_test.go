package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// slowQuotaCaller answers after a delay, as a busy node does.
type slowQuotaCaller struct{ delay time.Duration }

func (c slowQuotaCaller) Quota(_ context.Context, _ string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	time.Sleep(c.delay)
	response := &peerv1.QuotaResponse{Clock: &peerv1.QuotaClock{}}
	for _, d := range req.Demands {
		response.Grants = append(response.Grants, &peerv1.QuotaGrant{Account: d.Account, Permits: d.Waiting, ValidMs: 400})
	}
	return response, nil
}

// Guards against a purse that is forgotten while a call for its account is on its way.
func TestPurseIsKeptWhileItsQuotaCallIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := quotaAccount(20, 20)
		q := newQuotas(model.Node{ID: "n0"}, newClock(), slowQuotaCaller{300 * time.Millisecond}, events.New(discardLog{}, time.Now))
		q.fleet = func() quotaFleet {
			return quotaFleet{members: []model.NodeID{"n0", "n1"}, addresses: map[model.NodeID]string{"n1": "n1"}, eligible: []model.NodeID{"n1"}}
		}
		q.onFailure = func(model.NodeID, string, error) {}
		q.limitOf = func(model.AccountName) (quota.Limit, bool) { return limitOfAccount(account) }
		q.isNeeded = func() bool { return true }
		q.mayBorrow = func() bool { return true }
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if _, err := q.take(ctx, account); err == nil || err.Verdict != verdict.NotRun {
			t.Fatalf("a request that ended while it waited: %v", err)
		}
		q.renew()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
