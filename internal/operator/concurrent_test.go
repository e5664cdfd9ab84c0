package operator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

const (
	operators         = 6
	changesByOperator = 20
)

// Guards against concurrent operators and lost responses that together apply a write twice, report a wrong revision for a
// write, or drain a service below its capacity floor.
func TestConcurrentOperators(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			fleet := fakefleet.New()
			fleet.Put(document(t, proofroom))
			accepted := runOperators(t, fleet, seed)
			checkHistory(t, seed, fleet, accepted)
		})
	}
}

// runOperators returns how often each revision was reported as the result of an apply.
func runOperators(t *testing.T, fleet *fakefleet.Fleet, seed uint64) map[int64]int {
	var mu sync.Mutex
	accepted := make(map[int64]int)
	var group sync.WaitGroup
	for number := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		server := operator.NewServer(fleet, operator.Options{Node: model.NodeID(fmt.Sprint("n", number)), Incarnation: 1})
		group.Go(func() {
			for range changesByOperator {
				if random.IntN(3) == 0 {
					fleet.Inject(fakefleet.Fault(random.IntN(3)))
				}
				if revision := randomChange(t, server, random); revision > 0 {
					mu.Lock()
					accepted[revision]++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return accepted
}

// randomChange makes one change and returns the revision of an apply that reported success, 0 otherwise.
func randomChange(t *testing.T, server *operator.Server, random *rand.Rand) int64 {
	target := fmt.Sprint("proof-", 1+random.IntN(4))
	switch random.IntN(3) {
	case 0:
		_, _ = execute(server, "drain target "+target)
	case 1:
		_, _ = execute(server, "restore target "+target)
	default:
		text := fmt.Sprintf("declare service proofroom { floor 14 slots; route \"/p%d\"; }", random.Uint32())
		answer, err := server.Apply(context.Background(), connect.NewRequest(&operatorv1.ApplyRequest{Declarations: text}))
		if err != nil {
			t.Error(err)
			return 0
		}
		if change := answer.Msg.Changes[0]; change.Outcome == operator.OutcomeChanged {
			return change.Revision
		}
	}
	return 0
}

func checkHistory(t *testing.T, seed uint64, fleet *fakefleet.Fleet, accepted map[int64]int) {
	written := make(map[int64]bool)
	changes := make(map[string]int64)
	for _, stored := range fleet.History() {
		document := &stored.Document
		written[stored.Revision] = true
		if first, ok := changes[document.ChangeID]; ok {
			t.Errorf("seed %d: change %s took effect at revisions %d and %d", seed, document.ChangeID, first, stored.Revision)
		}
		changes[document.ChangeID] = stored.Revision
		if usable := fleet.DrainImpact(&document.Service, "").Usable; usable < document.FloorSlots {
			t.Errorf("seed %d: revision %d leaves %d slots, floor %d", seed, stored.Revision, usable, document.FloorSlots)
		}
	}
	for revision, count := range accepted {
		if count != 1 || !written[revision] {
			t.Errorf("seed %d: revision %d was reported %d times, written %v", seed, revision, count, written[revision])
		}
	}
	if len(written) < 10 || len(accepted) == 0 {
		t.Errorf("seed %d: only %d writes and %d accepted applies, too few for the checks", seed, len(written), len(accepted))
	}
}
