package quarantine

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

func drawSmallEntry(t *rapid.T) Entry {
	entry := Entry{Fingerprint: 1, Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch")}
	for _, target := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, LossLimit, rapid.ID[string]).Draw(t, "targets") {
		entry.Losses = append(entry.Losses, Loss{Target: model.TargetID(target), Serial: 1})
	}
	return entry
}

// Guards against an entry that counts as stored although the stored one lacks a loss, or is written again for nothing.
func TestEntryCoversWhatMergingDoesNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, other := drawSmallEntry(t), drawSmallEntry(t)
		table := New()
		table.Merge(0, stored)
		before := table.Entries(0)
		table.Merge(0, other)
		after := table.Entries(0)
		unchanged := before[0].Epoch == after[0].Epoch && len(before[0].Losses) == len(after[0].Losses)
		if !stored.Quarantined() {
			unchanged = unchanged && slices.Equal(before[0].Losses, after[0].Losses)
		}
		if stored.Covers(other) != unchanged {
			t.Errorf("%+v covers %+v: %v; merged: %+v", stored, other, stored.Covers(other), after[0])
		}
	})
}
