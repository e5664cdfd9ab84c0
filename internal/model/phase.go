package model

// Phase is the lifecycle phase that an upstream announces.
type Phase uint8

const (
	// PhaseStarting means that the upstream does not accept requests yet.
	PhaseStarting Phase = iota
	// PhaseReady means that the upstream accepts requests.
	PhaseReady
	// PhaseDraining means that the upstream finishes its requests and accepts no new ones.
	PhaseDraining
	// PhaseLeaving means that the upstream is about to exit.
	PhaseLeaving
)

var phaseNames = [...]string{"starting", "ready", "draining", "leaving"}

// String returns the form used in announcements and in responses to operators.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// IsLeaving reports whether the upstream accepts no new requests because it leaves.
func (p Phase) IsLeaving() bool { return p == PhaseDraining || p == PhaseLeaving }

// ParsePhase returns the phase with the given String form, and false if there is none.
func ParsePhase(s string) (Phase, bool) {
	for i, name := range phaseNames {
		if name == s {
			return Phase(i), true
		}
	}
	return 0, false
}
