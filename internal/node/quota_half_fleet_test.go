package node

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a small quota of which no request passes at either half of the nodes, or one at both, while the other half is lost.
func TestOneHalfOfTheNodesGrantsASmallQuota(t *testing.T) {
	for _, lostFrom := range []int{0, quotaTestNodes / 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(time.Second)
			defer cancel()
			account := quotaAccount(1, 1)
			f := newQuotaTestFleet(account)
			nodes := slices.Sorted(slices.Values(f.members().members))
			casting := quota.Preferred(quota.SlotOf(account.Name), nodes)
			lost := nodes[lostFrom : lostFrom+quotaTestNodes/2]
			for _, id := range nodes {
				isLost := slices.Contains(lost, id)
				f.lost[string(id)].Store(isLost)
				f.avoided[string(id)].Store(isLost)
				if !isLost {
					go f.nodes[string(id)].run(ctx)
				}
			}
			time.Sleep(10 * time.Second)
			passed := 0
			for _, id := range nodes {
				if slices.Contains(lost, id) {
					continue
				}
				_, err := f.nodes[string(id)].take(ctx, account)
				if err == nil {
					passed++
				} else if slices.Contains(lost, casting) && err.Reason != verdict.QuotaUnavailable {
					t.Errorf("a request at %s, where the quota holds none: %v", id, err)
				}
			}
			want := 1
			if slices.Contains(lost, casting) {
				want = 0
			}
			if passed != want {
				t.Errorf("%d requests pass without %v, want %d; the casting part is that of %s", passed, lost, want, casting)
			}
		})
	}
}
