package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a node that refuses everything for the length of a loan after one lost call to a distributor that works.
func TestOneLostQuotaCallRefusesNothingForLong(t *testing.T) {
	account := quotaAccount(100, 100)
	testQuotas(t, account, func(t *testing.T, ctx context.Context, f *quotaTestFleet) {
		d := f.distributor(account.Name)
		q := f.lender(account.Name)
		q.onFailure = func(model.NodeID, string, error) {}
		f.lost[d].Store(true)
		short, c := context.WithTimeout(ctx, 8*time.Millisecond)
		_, _ = q.take(short, account)
		c()
		f.lost[d].Store(false)
		outcomes := map[string]int{}
		for range 40 {
			reason := "passed"
			if _, err := q.take(ctx, account); err != nil {
				reason = string(err.Reason)
			}
			outcomes[reason]++
			time.Sleep(100 * time.Millisecond)
		}
		if outcomes["passed"] < 35 {
			t.Error(fmt.Sprint("40 requests in 4 s after one lost call: ", outcomes))
		}
	})
}
