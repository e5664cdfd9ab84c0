package quarantine

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against losses that remain attributed to ordinary requests after a success, or for longer than LossTTL without
// one.
func TestSuccessClearsLosses(t *testing.T) {
	table := New()
	const ordinary, idle Fingerprint = 1, 2
	table.Start(ordinary, "a")
	table.Start(idle, "a")
	if changed := table.RecordLoss(0, Loss{Target: "a", Serial: 1}); len(changed) != 2 {
		t.Fatalf("%d entries after the loss, want 2", len(changed))
	}
	table.Start(ordinary, "b")
	if decision := table.MayRun(0, ordinary, "c"); decision.Allowed || decision.RecheckAfter != RecheckDelay {
		t.Errorf("a fingerprint with a loss runs at two targets: %+v", decision)
	}
	if _, cleared := table.Finish(time.Second, ordinary, "b", true); !cleared {
		t.Error("the success did not clear the losses")
	}
	if !table.MayRun(time.Second, ordinary, "c").Allowed {
		t.Error("a fingerprint whose losses were cleared is refused")
	}
	if !table.MayRun(LossTTL, idle, "c").Allowed || table.losses(LossTTL, idle) != 0 {
		t.Error("a loss is attributed for longer than LossTTL")
	}
}

// Guards against quarantining ordinary requests that run at the same targets as a crashing request. Only the crashing
// request may reach LossLimit losses.
func TestOrdinaryRequestsAreNotQuarantined(t *testing.T) {
	targets := []model.TargetID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		serial := uint64(0)
		fingerprint := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 6).Draw(t, "fp")) })
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				fp, target := fingerprint.Draw(t, "fingerprint"), rapid.SampledFrom(targets).Draw(t, "target")
				if table.MayRun(0, fp, target).Allowed {
					table.Start(fp, target)
				}
			},
			"answer": func(t *rapid.T) {
				table.Finish(0, fingerprint.Draw(t, "fingerprint"), rapid.SampledFrom(targets).Draw(t, "target"), true)
			},
			"crash": func(t *rapid.T) {
				target := rapid.SampledFrom(targets).Draw(t, "target")
				if table.MayRun(0, crashing, target).Allowed {
					table.Start(crashing, target)
					serial++
					table.RecordLoss(0, Loss{Target: target, Serial: serial})
				}
			},
			"": func(t *rapid.T) {
				for _, entry := range table.Entries(0) {
					if entry.Quarantined() && entry.Fingerprint != crashing {
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
		entry.Losses = append(entry.Losses, Loss{Target: "a", Serial: uint64(rapid.IntRange(0, 4).Draw(t, "serial"))})
	}
	return entry
}

// Guards against nodes with different entries because they received updates in a different order or twice.
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

// Guards against entries that never expire because nodes send them to each other repeatedly. Entries contain their age
// to prevent this.
func TestEntriesExpireEverywhere(t *testing.T) {
	first, second := New(), New()
	first.Start(crashing, "a")
	first.RecordLoss(0, Loss{Target: "a", Serial: 1})
	for now := LossTTL / 2; now < LossTTL; now += LossTTL / 4 {
		propagateEntries(first, second, now)
		propagateEntries(second, first, now)
	}
	propagateEntries(first, second, LossTTL)
	if first.Len()+second.Len() != 0 {
		t.Errorf("%d and %d entries after LossTTL", first.Len(), second.Len())
	}
}

func propagateEntries(from, to *Table, now time.Duration) {
	for _, entry := range from.Entries(now) {
		to.Merge(now, entry)
	}
	to.Entries(now)
}

// Guards against unbounded memory use, and against evicting a quarantined fingerprint because of many fingerprints with
// a single loss.
func TestMemoryIsBounded(t *testing.T) {
	table := New()
	for serial := range uint64(LossLimit) {
		table.Start(crashing, "a")
		table.RecordLoss(0, Loss{Target: "a", Serial: serial})
	}
	for i := range Fingerprint(3 * MaxEntries) {
		table.Start(i<<16, "b")
	}
	table.RecordLoss(time.Second, Loss{Target: "b", Serial: 1})
	if table.Len() > MaxEntries || table.Running("b") != 0 {
		t.Errorf("%d entries, %d in flight", table.Len(), table.Running("b"))
	}
	if !table.MayRun(time.Second, crashing, "c").Quarantined {
		t.Error("fingerprints with a single loss evicted a quarantined one")
	}
	if _, ok := table.Release(time.Second, crashing); !ok || !table.MayRun(time.Second, crashing, "c").Allowed {
		t.Error("the release had no effect")
	}
}
