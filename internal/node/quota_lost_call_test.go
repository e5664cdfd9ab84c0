package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a node that refuses everything for the length of a loan after one lost call to a distributor that works.
func TestOneLostQuotaCallRefusesNothingForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		account := &declaration.Account{Name: "a", RatePerSecond: 100, Burst: 100}
		f := startQuotaTestFleet(ctx, account)
		time.Sleep(10 * time.Second)
		d := f.distributor(account.Name)
		q := f.nodes["n0"]
		if d == "n0" {
			q = f.nodes["n1"]
		}
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
