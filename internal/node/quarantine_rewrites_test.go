package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
)

// crashRewriteLimit is the time within which a lost entry has to be in the store again.
const crashRewriteLimit = holderRewriteDelay + holderRewriteSpread + 2*time.Second

func (f *crashFleet) storedEntry(fingerprint quarantine.Fingerprint) (quarantine.Entry, bool) {
	kv, err := f.store.Get(f.t.Context(), quarantineKey(fingerprint))
	if err != nil {
		return quarantine.Entry{}, false
	}
	var entry quarantine.Entry
	if err := json.Unmarshal(kv.Value, &entry); err != nil {
		f.t.Fatal(err)
	}
	return entry, true
}

// Guards against a request that crashes further targets beside nodes that start after a restore has lost its quarantine.
func TestQuarantineLostInARestoreIsWrittenAgain(t *testing.T) {
	for name, watchers := range map[string]int{"with watchers": 3, "at one node that does not watch": 0} {
		t.Run(name, func(t *testing.T) {
			runCrashFleet(t, func(f *crashFleet) {
				c := f.start()
				from := f.store.Copy()
				for range watchers {
					f.start().isWatching = func() bool { return true }
				}
				f.crash(c, "t1")
				f.crash(c, "t2")
				f.pass(5 * time.Second)
				writes := f.store.Counts()[store.KindCompareAndSwap]
				// The second restore comes while the entry is being written again.
				f.store.Restore(from)
				f.pass(2 * time.Second)
				f.store.Restore(from)
				f.pass(crashRewriteLimit)
				if allows(f.start()) {
					t.Error("a node that started after the restore runs the request")
				}
				if writes = f.store.Counts()[store.KindCompareAndSwap] - writes; writes > 2 {
					t.Errorf("%d writes of one entry after two restores", writes)
				}
			})
		})
	}
}

// Guards against a lost entry that stays lost because the store refused the first write after its restore.
func TestQuarantineIsWrittenAgainDespiteAnOutage(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		from := f.store.Copy()
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(5 * time.Second)
		f.store.Restore(from)
		f.sync(c)
		f.store.SetFaults(fakestore.Faults{Down: true})
		f.pass(time.Minute)
		f.store.SetFaults(fakestore.Faults{})
		f.pass(time.Minute)
		if _, ok := f.storedEntry(crashingFingerprint); !ok {
			t.Error("the entry is still lost")
		}
	})
}

// Guards against store calls of every node after a restore that has lost no entry.
func TestCompleteQuarantineCostsNoCalls(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		f.start().isWatching = func() bool { return true }
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(5 * time.Second)
		before := f.store.Counts()
		f.store.Restore(f.store.Copy())
		f.pass(crashRewriteLimit)
		after := f.store.Counts()
		if after[store.KindGet] != before[store.KindGet] || after[store.KindCompareAndSwap] != before[store.KindCompareAndSwap] {
			t.Errorf("calls before %v and after the restore %v; want only lists by the test", before, after)
		}
	})
}

// Guards against losses that are never stored because the store was away when they were recorded.
func TestLossesOfAnOutageAreWrittenAfterTheRestore(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		from := f.store.Copy()
		f.store.SetFaults(fakestore.Faults{Down: true})
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(5 * time.Second)
		f.store.Restore(from)
		f.store.SetFaults(fakestore.Faults{})
		f.pass(crashRewriteLimit)
		if allows(f.start()) {
			t.Error("a node that started after the restore runs the request")
		}
	})
}

// Guards against a restore that undoes a release: the restored copy still has the quarantine.
func TestReleaseLostInARestoreIsWrittenAgain(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(5 * time.Second)
		from := f.store.Copy()
		if err := c.releaseFingerprint(t.Context(), crashingFingerprint); err != nil {
			t.Fatal(err)
		}
		f.store.Restore(from)
		f.pass(crashRewriteLimit)
		if !allows(f.start()) {
			t.Error("a node that started after the restore refuses the released request")
		}
	})
}

// Guards against an entry from before a restore that replaces a release from after it.
func TestReleaseAfterARestoreIsNotOverwritten(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		from := f.store.Copy()
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(5 * time.Second)
		f.store.Restore(from)
		released, err := json.Marshal(quarantine.Entry{Fingerprint: crashingFingerprint, Identity: quarantine.IdentityVersion, Epoch: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.CompareAndSwap(t.Context(), quarantineKey(crashingFingerprint), 0, released, 0); err != nil {
			t.Fatal(err)
		}
		f.pass(crashRewriteLimit)
		if entry, _ := f.storedEntry(crashingFingerprint); entry.Epoch != 1 || len(entry.Losses) != 0 {
			t.Errorf("the store has %+v, want the release", entry)
		}
		if !allows(c) {
			t.Error("the node refuses the released request")
		}
	})
}

// Guards against a quarantine that a re-write after a restore makes longer.
func TestRewrittenQuarantineEndsInTime(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		from := f.store.Copy()
		f.crash(c, "t1")
		f.crash(c, "t2")
		f.pass(quarantine.QuarantineTTL / 2)
		f.store.Restore(from)
		f.pass(crashRewriteLimit)
		added := f.start()
		if allows(added) {
			t.Error("a node that started after the restore runs the request")
		}
		f.pass(quarantine.QuarantineTTL/2 + time.Minute)
		if !allows(c) || !allows(added) {
			t.Error("the quarantine has not ended")
		}
	})
}

// Guards against a write by each holder of a lost entry that has not yet received the one that another holder has written.
func TestEntryThatAnotherHolderHasWrittenIsNotWrittenAgain(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		first := f.start()
		from := f.store.Copy()
		f.crash(first, "t1")
		f.crash(first, "t2")
		f.pass(5 * time.Second)
		second := f.start()
		f.store.Restore(from)
		f.sync(first)
		f.sync(second)
		writes := f.store.Counts()[store.KindCompareAndSwap]
		if !first.rewriteOnce(f.t.Context()) || !second.rewriteOnce(f.t.Context()) {
			t.Error("a write failed")
		}
		f.pass(crashRewriteLimit)
		if writes = f.store.Counts()[store.KindCompareAndSwap] - writes; writes != 1 {
			t.Errorf("%d writes by two holders of one entry, want 1", writes)
		}
	})
}
