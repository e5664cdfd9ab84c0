package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
)

// crashFleet is a store and the crash trackers of several nodes that receive its changes.
type crashFleet struct {
	t        *testing.T
	store    *fakestore.Store
	trackers []*crashTracker
}

// runCrashFleet runs test in a bubble with fake time.
func runCrashFleet(t *testing.T, test func(f *crashFleet)) {
	synctest.Test(t, func(t *testing.T) {
		test(&crashFleet{t: t, store: fakestore.New(fakestore.Options{})})
	})
}

// start adds a running tracker that follows the store.
func (f *crashFleet) start() *crashTracker {
	self := model.Node{ID: "n", Incarnation: model.Incarnation(1000 * (len(f.trackers) + 1))}
	c := newCrashTracker(newClock(), self, f.store, events.New(discardLog{}, time.Now))
	f.trackers = append(f.trackers, c)
	go c.run(f.t.Context())
	f.sync(c)
	return c
}

// sync gives the tracker a snapshot of the store, as the distribution does.
func (f *crashFleet) sync(c *crashTracker) {
	kvs, revision, err := f.store.List(f.t.Context(), distribution.QuarantinePrefix)
	if err != nil {
		return
	}
	snapshot := &distribution.Snapshot{Quarantine: make(map[string]config.Document), StoreEra: store.Era(revision)}
	for _, kv := range kvs {
		name := kv.Key[len(distribution.QuarantinePrefix):]
		snapshot.Quarantine[name] = config.Document{Key: kv.Key, Value: kv.Value, Revision: kv.Revision}
	}
	c.mergeSnapshot(snapshot)
}

// pass lets time pass while all trackers follow the store.
func (f *crashFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, c := range f.trackers {
			f.sync(c)
		}
	}
	synctest.Wait()
}

const crashingFingerprint = 0x1f

func crashingRequest(target string) *peerv1.ForwardHead {
	return &peerv1.ForwardHead{Fingerprint: crashingFingerprint, Target: target, Service: "s"}
}

func allows(c *crashTracker) bool { return c.decide(crashingRequest("t9"), false).Allowed }

// crash lets the request crash the target.
func (f *crashFleet) crash(c *crashTracker, target string) {
	if err := c.begin(crashingRequest(target)); err != nil {
		f.t.Fatal(err)
	}
	c.recordLoss(crashingRequest(target))
}

// Guards against a quarantine that is in force again on all nodes, long after its end, because the store came back from
// a copy.
func TestExpiredQuarantineStaysExpiredAfterARestore(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c, other := f.start(), f.start()
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(time.Minute)
		if allows(c) || allows(other) {
			t.Fatal("the request is not quarantined")
		}
		f.pass(quarantine.QuarantineTTL)
		if !allows(c) || !allows(other) {
			t.Fatal("the quarantine has not ended")
		}
		// Reading the entries removes the expired ones.
		if len(c.entries()) != 0 || len(other.entries()) != 0 {
			t.Fatal("the expired entry is still there")
		}
		f.store.Restore(f.store.Copy())
		f.pass(time.Minute)
		if !allows(c) || !allows(other) {
			t.Error("the restore has renewed an expired quarantine")
		}
	})
}
