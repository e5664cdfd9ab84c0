package distribution_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// rewriteLimit is the time within which records that a restore of the store has lost have to be in the store again.
const rewriteLimit = 20 * time.Second

// restore brings the store back from the copy. The operator has written its documents again.
func (f *fleet) restore(from *fakestore.Copy) { f.store.Restore(from, distribution.ConfigPrefix) }

// storedIncarnation returns the incarnation in the node's member record in the store, 0 if there is none.
func (f *fleet) storedIncarnation(node model.Node) model.Incarnation {
	f.reads++
	kv, err := f.store.Get(context.Background(), distribution.MemberKey(node))
	if err != nil {
		return 0
	}
	var stored model.Node
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		f.t.Fatal(err)
	}
	return stored.Incarnation
}

func (f *fleet) isRegistered(node *testNode) bool {
	return node.Status().Registered && f.storedIncarnation(node.self) == node.self.Incarnation
}

// Guards against nodes that do not receive the era of the store, so that they write nothing again that a restore has lost.
func TestEveryNodeReceivesTheEra(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.options = func(o *distribution.Options) { o.NoEjections = true }
		f.declare("ledger", "/v1")
		nodes := f.startMany(24)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(24))
		for era := int64(1); era <= 2; era++ {
			f.restore(f.store.Copy())
			f.waitFor(activationLimit, "the era", nodes, func(n *testNode) bool { return n.Snapshot().StoreEra == era })
		}
	})
}

// Guards against a fleet that treats the era in which it starts as a restore.
func TestFirstEraIsNoRestore(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		f.restore(f.store.Copy())
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(8))
		f.waitFor(activationLimit, "the era", nodes, func(n *testNode) bool { return n.Snapshot().StoreEra == 1 })
		time.Sleep(rewriteLimit)
		counts := f.store.Counts()
		if counts[store.KindGet] != 1 || counts[store.KindCompareAndSwap] != 9 {
			t.Errorf("calls by 8 nodes and the operator: %v", counts)
		}
		for _, node := range nodes {
			if node.events.count(distribution.EraReceived) != 0 {
				t.Errorf("%s reported a restore", node.self.ID)
			}
		}
	})
}

// Guards against member records that stay lost after the store came back from an older copy, so that a node without
// seeds finds no peers.
func TestMemberRecordsLostInARestoreAreWrittenAgain(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(8))
		// Members hear of each other before all are registered. One that is not has no record that the restore could lose.
		f.waitFor(time.Minute, "the registration", nodes, f.isRegistered)
		from := f.store.Copy()
		for index := 8; index < 12; index++ {
			nodes = append(nodes, f.start(index))
		}
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(12))
		f.waitFor(time.Minute, "the registration", nodes, f.isRegistered)
		before, readsBefore := f.store.Counts(), f.reads
		f.restore(from)
		f.waitFor(rewriteLimit, "the registration", nodes, f.isRegistered)
		after := f.store.Counts()
		if reads := after[store.KindGet] - before[store.KindGet] - uint64(f.reads-readsBefore); reads != 12 {
			t.Errorf("%d reads by 12 nodes", reads)
		}
		if writes := after[store.KindCompareAndSwap] - before[store.KindCompareAndSwap]; writes != 4 {
			t.Errorf("%d writes for 4 lost records", writes)
		}
		added := f.start(20)
		f.waitFor(time.Minute, "the members at a new node", []*testNode{added}, hasLiveMembers(13))
	})
}

// Guards against a check of the member record that covers only the first of several restores.
func TestMemberRecordsAfterTwoRestoresInARow(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runInFleet(t, func(f *fleet) {
				f.declare("ledger", "/v1")
				empty := f.store.Copy()
				nodes := f.startMany(8)
				f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(8))
				f.restore(empty)
				time.Sleep(pause)
				f.restore(empty)
				f.waitFor(rewriteLimit, "the registration", nodes, f.isRegistered)
			})
		})
	}
}

// restoringStore restores the store between the next write of a key and its confirmation.
type restoringStore struct {
	*fakestore.Store
	key     string
	restore func()
}

func (s *restoringStore) CompareAndSwap(
	ctx context.Context, key string, expectedRevision int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	kv, err := s.Store.CompareAndSwap(ctx, key, expectedRevision, value, lease)
	if key == s.key && s.restore != nil {
		s.restore()
		s.restore = nil
	}
	return kv, err
}

// Guards against a member record that is confirmed and lost in the same moment.
func TestRestoreBetweenWriteAndConfirmation(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(4)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(4))
		from := f.store.Copy()
		f.options = func(o *distribution.Options) {
			key := distribution.MemberKey(o.Self)
			o.Store = &restoringStore{Store: f.store, key: key, restore: func() { f.restore(from) }}
		}
		added := f.start(4)
		f.waitFor(rewriteLimit, "the registration", []*testNode{added}, f.isRegistered)
	})
}

// lateEraStore restores the store after the next write of a key, delays the confirmation, and answers no list or watch
// before the restore.
type lateEraStore struct {
	*fakestore.Store
	key      string
	restore  func()
	delay    time.Duration
	restored atomic.Bool
}

func (s *lateEraStore) CompareAndSwap(
	ctx context.Context, key string, expectedRevision int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	kv, err := s.Store.CompareAndSwap(ctx, key, expectedRevision, value, lease)
	if key == s.key && s.restored.CompareAndSwap(false, true) {
		s.restore()
		time.Sleep(s.delay)
	}
	return kv, err
}

func (s *lateEraStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if !s.restored.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Guards against a lost member record of a node that received no era before the restore: it receives its first one after
// the confirmation of the write, or before it.
func TestFirstEraIsAfterTheOneOfTheRegistration(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runInFleet(t, func(f *fleet) {
				f.declare("ledger", "/v1")
				from := f.store.Copy()
				f.options = func(o *distribution.Options) {
					key := distribution.MemberKey(o.Self)
					o.Store = &lateEraStore{Store: f.store, key: key, delay: delay, restore: func() { f.restore(from) }}
					o.StoreTimeout = time.Minute
				}
				node := f.start(0)
				f.waitFor(delay+rewriteLimit, "the registration", []*testNode{node}, f.isRegistered)
			})
		})
	}
}

// Guards against the record of an earlier process that a restore brings back in place of the current one.
func TestMemberRecordOfAnEarlierIncarnationIsReplaced(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(4)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(4))
		from := f.store.Copy()
		f.stop(nodes[3])
		nodes[3] = f.start(3)
		f.waitFor(time.Minute, "the registration", nodes, f.isRegistered)
		f.restore(from)
		f.waitFor(rewriteLimit, "the registration", nodes, f.isRegistered)
	})
}

// Guards against a paused process that takes over the member record of the one that has replaced it.
func TestRecordOfALaterIncarnationIsKept(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(4)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(4))
		later := nodes[3].self
		later.Incarnation += 100
		value, err := json.Marshal(later)
		if err != nil {
			t.Fatal(err)
		}
		f.put(distribution.MemberKey(later), value)
		f.restore(f.store.Copy())
		time.Sleep(rewriteLimit)
		if stored := f.storedIncarnation(later); stored != later.Incarnation {
			t.Errorf("the record has incarnation %d, want %d", stored, later.Incarnation)
		}
		if nodes[3].events.count(distribution.IdentityConflict) == 0 {
			t.Error("the other process was not reported")
		}
	})
}

// Guards against deleted records of dead members that a restore brings back and nobody deletes, or that count as live.
func TestRecordsOfDeadMembersThatARestoreBringsBack(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.options = slowRounds
		f.declare("ledger", "/v1")
		nodes := f.startMany(8)
		f.waitFor(slowFactor*time.Minute, "the members", nodes, hasLiveMembers(8))
		dead := nodes[7]
		from := f.store.Copy()
		f.stop(dead)
		nodes = nodes[:7]
		for waited := time.Duration(0); f.storedIncarnation(dead.self) != 0; waited += time.Minute {
			if waited > 2*time.Hour {
				t.Fatal("the record of the dead member was not deleted")
			}
			time.Sleep(time.Minute)
		}
		f.restore(from)
		f.waitFor(slowFactor*rewriteLimit, "the deletion", nodes[:1], func(*testNode) bool {
			return f.storedIncarnation(dead.self) == 0
		})
		f.waitFor(0, "the live members", nodes, hasLiveMembers(7))
		f.restore(from)
		nodes = append(nodes, f.start(8))
		f.waitFor(slowFactor*time.Minute, "the live members with a new node", nodes, hasLiveMembers(8))
	})
}

// Guards against watchers that list and watch in a tight loop after a restore.
func TestStoreCallsAfterARestore(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		from := f.store.Copy()
		nodes := f.startMany(16)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(16))
		f.declare("ledger", "/v2")
		f.put("quarantine/1f", []byte("request"))
		time.Sleep(time.Minute)
		const period = time.Minute
		steady := f.store.Counts()
		time.Sleep(period)
		before := f.store.Counts()
		f.restore(from)
		time.Sleep(period)
		after := f.store.Counts()
		calls, usual := total(after)-total(before), total(before)-total(steady)
		t.Logf("calls in %v: %d without and %d with a restore", period, usual, calls)
		// Each of 8 watchers may list three prefixes and the members once and watch once more, and each of 16 nodes may
		// read and write its record. One quarantine document may be written again.
		if limit := usual + 8*7 + 16*2 + 1; calls > limit {
			t.Errorf("%d calls in %v after a restore, want at most %d", calls, period, limit)
		}
	})
}
