package quarantine

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against ordinary requests that stay blamed after they were answered, or for longer than LossTTL without an
// answer.
func TestSuccessClearsBlame(t *testing.T) {
	table := New()
	const ordinary, idle Fingerprint = 1, 2
	table.Start(ordinary, "a")
	table.Start(idle, "a")
	if changed := table.Lose(0, Loss{"a", 1}); len(changed) != 2 {
		t.Fatalf("%d entries after the loss, want 2", len(changed))
	}
	table.Start(ordinary, "b")
	if ruling := table.MayRun(0, ordinary, "c"); ruling.OK || ruling.Wait != SuspectWait {
		t.Errorf("a fingerprint with a loss runs at two targets: %+v", ruling)
	}
	if _, cleared := table.Finish(time.Second, ordinary, "b", true); !cleared {
		t.Error("the success cleared nothing")
	}
	if !table.MayRun(time.Second, ordinary, "c").OK {
		t.Error("a cleared fingerprint is held back")
	}
	if !table.MayRun(LossTTL, idle, "c").OK || table.losses(LossTTL, idle) != 0 {
		t.Error("a loss is held for longer than LossTTL")
	}
}

// Guards against a crashing request that takes ordinary requests into quarantine with it: whatever runs beside it, only
// the crashing one gets LossLimit losses.
func TestOrdinaryRequestsAreNotQuarantined(t *testing.T) {
	targets := []model.TargetID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		serial := uint64(0)
		fingerprint := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 6).Draw(t, "fp")) })
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				fp, target := fingerprint.Draw(t, "fingerprint"), rapid.SampledFrom(targets).Draw(t, "target")
				if table.MayRun(0, fp, target).OK {
					table.Start(fp, target)
				}
			},
			"answer": func(t *rapid.T) {
				table.Finish(0, fingerprint.Draw(t, "fingerprint"), rapid.SampledFrom(targets).Draw(t, "target"), true)
			},
			"crash": func(t *rapid.T) {
				target := rapid.SampledFrom(targets).Draw(t, "target")
				if table.MayRun(0, killer, target).OK {
					table.Start(killer, target)
					serial++
					table.Lose(0, Loss{target, serial})
				}
			},
			"": func(t *rapid.T) {
				for _, entry := range table.Entries(0) {
					if entry.Quarantined() && entry.Fingerprint != killer {
						t.Fatalf("ordinary fingerprint %s is quarantined", entry.Fingerprint)
					}
				}
			},
		})
	})
}

func drawEntry(t *rapid.T) Entry {
	entry := Entry{Fingerprint: 7, Epoch: uint64(rapid.IntRange(0, 2).Draw(t, "epoch"))}
	for range rapid.IntRange(0, 3).Draw(t, "losses") {
		entry.Losses = append(entry.Losses, Loss{"a", uint64(rapid.IntRange(0, 4).Draw(t, "serial"))})
	}
	return entry
}

// Guards against nodes that end up with different entries because news came in another order or twice.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 5).Draw(t, "entries")
		first, second := New(), New()
		for _, entry := range entries {
			first.Merge(0, entry)
		}
		for _, entry := range rapid.Permutation(entries).Draw(t, "other order") {
			second.Merge(0, entry)
			second.Merge(0, entry)
		}
		if a, b := first.Entries(0), second.Entries(0); !reflect.DeepEqual(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Guards against entries that nodes pass to each other for ever: the age travels with the entry.
func TestEntriesExpireEverywhere(t *testing.T) {
	first, second := New(), New()
	first.Start(killer, "a")
	first.Lose(0, Loss{"a", 1})
	for now := LossTTL / 2; now < LossTTL; now += LossTTL / 4 {
		pass(first, second, now)
		pass(second, first, now)
	}
	pass(first, second, LossTTL)
	if first.Len()+second.Len() != 0 {
		t.Errorf("%d and %d entries after LossTTL", first.Len(), second.Len())
	}
}

func pass(from, to *Table, now time.Duration) {
	for _, entry := range from.Entries(now) {
		to.Merge(now, entry)
	}
	to.Entries(now)
}

// Guards against unbounded memory, and against the loss of a quarantine to many single losses.
func TestMemoryIsBounded(t *testing.T) {
	table := New()
	for serial := range uint64(LossLimit) {
		table.Start(killer, "a")
		table.Lose(0, Loss{"a", serial})
	}
	for i := range Fingerprint(3 * MaxEntries) {
		table.Start(i<<16, "b")
	}
	table.Lose(time.Second, Loss{"b", 1})
	if table.Len() > MaxEntries || table.Running("b") != 0 {
		t.Errorf("%d entries, %d in flight", table.Len(), table.Running("b"))
	}
	if !table.MayRun(time.Second, killer, "c").Quarantined {
		t.Error("single losses pushed out a quarantine")
	}
	if _, ok := table.Release(time.Second, killer); !ok || !table.MayRun(time.Second, killer, "c").OK {
		t.Error("the release had no effect")
	}
}
