package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// longestIdle returns the longest time in the span for which a node that answers lends its parts of the account to nobody.
func (f *quotaTestFleet) longestIdle(account model.AccountName, span time.Duration) time.Duration {
	const step = time.Millisecond
	idle := map[string]time.Duration{}
	longest := time.Duration(0)
	for range int(span / step) {
		for id, q := range f.nodes {
			q.mu.Lock()
			held := q.slots[quota.SlotOf(account)].lender.Holder(q.clock.now()) != ""
			q.mu.Unlock()
			if held || f.lost[id].Load() {
				idle[id] = 0
				continue
			}
			idle[id] += step
			longest = max(longest, idle[id])
		}
		time.Sleep(step)
	}
	return longest
}

// runHandover runs the test with a fleet whose parts have been lent for 10 s.
func runHandover(t *testing.T, test func(t *testing.T, f *quotaTestFleet, account model.AccountName)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		account := &declaration.Account{Name: "a", RatePerSecond: 30, Burst: 30}
		f := startQuotaTestFleet(ctx, account)
		time.Sleep(10 * time.Second)
		test(t, f, account.Name)
	})
}

// Guards against parts that lie idle until the next renewal after a stopping distributor has given them back.
func TestPartsOfAStoppingDistributorAreLentAtOnce(t *testing.T) {
	runHandover(t, func(t *testing.T, f *quotaTestFleet, account model.AccountName) {
		stopping := f.distributor(account)
		f.stopping.Store(&stopping)
		if idle := f.longestIdle(account, 2*time.Second); idle > 4*quotaTestLatency {
			t.Errorf("parts were idle for %v, want two calls at most", idle)
		}
	})
}

// Guards against parts that lie idle while they are moved to a distributor that is preferred to the present one.
func TestPartsMoveToAPreferredDistributorAtOnce(t *testing.T) {
	runHandover(t, func(t *testing.T, f *quotaTestFleet, account model.AccountName) {
		preferred := f.distributor(account)
		f.lost[preferred].Store(true)
		time.Sleep(10 * time.Second)
		f.lost[preferred].Store(false)
		f.avoided[preferred].Store(false)
		if idle := f.longestIdle(account, 2*time.Second); idle > 4*quotaTestLatency {
			t.Errorf("parts were idle for %v, want two calls at most", idle)
		}
		if got := f.distributor(account); got != preferred {
			t.Errorf("the parts are at %s, want %s", got, preferred)
		}
	})
}
