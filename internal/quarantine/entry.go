package quarantine

import "time"

// Entry is what nodes exchange and store about one fingerprint.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Epoch grows with each clearance or release. An entry with a greater epoch replaces one with a smaller epoch.
	Epoch uint64 `json:"epoch"`
	// Losses holds at most LossLimit losses, in order.
	Losses []Loss `json:"losses,omitempty"`
	// Age is the time since the newest loss, or since the clearance. It includes the time that the entry spent with
	// other nodes, so that an entry expires everywhere at about the same time.
	Age time.Duration `json:"age_ns"`
}

// Quarantined reports whether the entry keeps its fingerprint from running.
func (e Entry) Quarantined() bool { return len(e.Losses) >= LossLimit }
