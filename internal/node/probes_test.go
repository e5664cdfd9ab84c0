package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// pausingStore is a store whose caller is paused while its compare-and-swap is answered.
type pausingStore struct {
	store.Store
	pause time.Duration
}

func (s pausingStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease store.LeaseID) (store.KV, error) {
	written, err := s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	time.Sleep(s.pause)
	return written, err
}

// quarantineAtTwoTargets lets two nodes lose a target each, and waits until a probe is due.
func (f *crashFleet) quarantineAtTwoTargets(c, other *crashTracker) {
	f.beginRun(c, "t1")
	f.beginRun(other, "t2")
	c.recordLoss(crashingRequest("t1"))
	other.recordLoss(crashingRequest("t2"))
	f.pass(20 * time.Second)
}

// Guards against a node that is paused after it has claimed a probe, and that sends its request when it resumes, long after.
func TestPausedNodeDoesNotRunItsProbe(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		paused, other := f.start(), f.start()
		f.quarantineAtTwoTargets(paused, other)
		paused.store = pausingStore{f.store, time.Minute}
		if refusal := paused.awaitAllowed(f.t.Context(), crashingRequest("t9")); refusal == nil {
			t.Error("the paused node runs its probe")
		}
	})
}

// Guards against a probe that waits, in a paused node or for a slot, and runs although an operator has ordered the quarantine
// meanwhile.
func TestOrderEndsAProbeThatWaits(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		accepting, admitting := f.start(), f.start()
		f.quarantineAtTwoTargets(accepting, admitting)
		head := crashingRequest("t9")
		if refusal := accepting.awaitAllowed(f.t.Context(), head); refusal != nil {
			t.Fatal(refusal)
		}
		if refusal := admitting.awaitAllowed(f.t.Context(), head); refusal != nil {
			t.Fatal(refusal)
		}
		if err := accepting.quarantineFingerprint(f.t.Context(), crashingFingerprint); err != nil {
			t.Fatal(err)
		}
		f.pass(2 * time.Second)
		synctest.Wait()
		if refusal := admitting.begin(head); refusal == nil {
			t.Error("the probe runs after the order")
		}
	})
}

// Guards against a target that gets the time which its request has spent waiting for the quarantine.
func TestWaitForTheQuarantineIsTakenFromTheTimeLeft(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		accepting, other := f.start(), f.start()
		f.quarantineAtTwoTargets(accepting, other)
		a := &acceptor{admitter: &admitter{crashes: accepting}}
		head := crashingRequest("t9")
		head.TimeoutMs, head.ObjectiveLeftMs = 8_000, 2_000
		began := time.Now()
		if refusal := a.beginRemote(f.t.Context(), head); refusal != nil {
			t.Fatal(refusal)
		}
		waited := time.Since(began).Milliseconds()
		if waited == 0 || head.TimeoutMs != 8_000-waited || head.ObjectiveLeftMs != 2_000-waited {
			t.Errorf("%d ms left, %d for the objective, after %d ms", head.TimeoutMs, head.ObjectiveLeftMs, waited)
		}
	})
}
