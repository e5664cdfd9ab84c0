package quarantine

import (
	"slices"
	"time"
)

// Entry is the form in which nodes propagate and store the losses of one fingerprint.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Epoch increases each time the losses are cleared by a success or a release. An entry with a greater epoch
	// replaces one with a smaller epoch.
	Epoch uint64 `json:"epoch"`
	// Losses holds at most LossLimit losses, ordered by target and serial.
	Losses []Loss `json:"losses,omitempty"`
	// Age is the time since the newest loss, or since the losses were cleared. It includes the time on other nodes, so
	// that an entry expires on all nodes at about the same time.
	Age time.Duration `json:"age_ns"`
}

// Quarantined reports whether the fingerprint of the entry is quarantined.
func (e Entry) Quarantined() bool { return len(e.Losses) >= LossLimit }

// Covers reports whether the entry has everything that another entry of the same fingerprint has, so that merging the other
// one into it does not change how requests are handled.
func (e Entry) Covers(other Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	return e.Quarantined() || !slices.ContainsFunc(other.Losses, func(l Loss) bool { return !slices.Contains(e.Losses, l) })
}
