package model

// Phase is the stage of life that an upstream announces.
type Phase uint8

const (
	// PhaseStarting means that the upstream takes no work yet.
	PhaseStarting Phase = iota
	// PhaseReady means that the upstream takes work.
	PhaseReady
	// PhaseDraining means that the upstream finishes its work and takes no new work.
	PhaseDraining
	// PhaseLeaving means that the upstream is about to exit.
	PhaseLeaving
)

var phaseNames = [...]string{"starting", "ready", "draining", "leaving"}

// String returns the form used in announcements and operators' answers.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// ParsePhase returns the phase with the given String form, and false if there is none.
func ParsePhase(s string) (Phase, bool) {
	for i, name := range phaseNames {
		if name == s {
			return Phase(i), true
		}
	}
	return 0, false
}
