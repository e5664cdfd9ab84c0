package node

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// silentQuotaFleet answers no call.
type silentQuotaFleet struct{}

func (silentQuotaFleet) Quota(ctx context.Context, _ string, _ *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	<-ctx.Done()
	return nil, errors.New("no answer")
}

// lastPreferred returns the node that distributes the quota of the account if all others are lost.
func lastPreferred(account model.AccountName, nodes []model.NodeID) model.NodeID {
	for len(nodes) > 1 {
		preferred := quota.Preferred(quota.SlotOf(account), nodes)
		nodes = slices.DeleteFunc(nodes, func(id model.NodeID) bool { return id == preferred })
	}
	return nodes[0]
}

// Guards against requests that wait while a node that is cut off probes all other nodes, one after the other.
func TestRequestWaitsForOneUnansweredProbe(t *testing.T) {
	account := quotaAccount(20, 20)
	testQuotas(t, account, func(t *testing.T, ctx context.Context, f *quotaTestFleet) {
		q := f.nodes[string(lastPreferred(account.Name, f.members().members))]
		f.avoidingFleet(q)
		f.routeFrom(q, silentQuotaFleet{})
		start, lentUntil := q.clock.now(), q.lentUntil(account.Name)
		for q.clock.now() < start+15*time.Second {
			asked := q.clock.now()
			_, err := q.take(ctx, account)
			bound := quotaCallTimeout
			if asked < lentUntil {
				bound = maxQuotaFailures * quotaCallTimeout
			}
			if waited := q.clock.now() - asked; waited > bound {
				t.Errorf("%s after the cut: a request waits for %s (%v)", asked-start, waited, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
