package quarantine

import (
	"slices"
	"time"
)

// Entry is the form in which nodes propagate and store the losses of one fingerprint.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Identity is the kind of the fingerprint, IdentityVersion in entries of this build.
	Identity int `json:"identity,omitempty"`
	// Epoch increases each time the losses are cleared by a success or a release. An entry with a greater epoch
	// replaces one with a smaller epoch.
	Epoch uint64 `json:"epoch"`
	// Losses holds at most LossLimit incriminating losses and as many others, ordered by target and serial.
	Losses []Loss `json:"losses,omitempty"`
	// Age is the time since the newest loss, or since the losses were cleared. It includes the time on other nodes, so
	// that an entry expires on all nodes at about the same time.
	Age time.Duration `json:"age_ns"`
	// Probes is the number of probes of the quarantine so far, and ProbeAge the time since the last one.
	Probes   int           `json:"probes,omitempty"`
	ProbeAge time.Duration `json:"probe_age_ns,omitempty"`
}

// Quarantined reports whether the fingerprint of the entry is quarantined.
func (e Entry) Quarantined() bool { return incriminating(e.Losses) >= LossLimit }

// Covers reports whether the entry has everything that another entry of the same fingerprint has, so that merging the other
// one into it does not change how requests are handled.
func (e Entry) Covers(other Entry) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	if e.Probes < other.Probes || !confirmed(e.Losses) && confirmed(other.Losses) {
		return false
	}
	return !slices.ContainsFunc(other.Losses, e.lacks)
}

// lacks reports whether the loss changes the entry when it is merged.
func (e Entry) lacks(loss Loss) bool {
	index, found := slices.BinarySearchFunc(e.Losses, loss, compareLoss)
	if found {
		return e.Losses[index].Evidence < loss.Evidence
	}
	return !e.Quarantined()
}
