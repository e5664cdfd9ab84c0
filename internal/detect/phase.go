package detect

// Phase is the detector's judgement of the target.
type Phase uint8

const (
	// Healthy means that there is not enough evidence against the target.
	Healthy Phase = iota
	// Suspect means that the target is held to be failing and gets no trial yet.
	Suspect
	// Trial means that the target may return after a few idempotent requests.
	Trial
)

var phaseNames = [...]string{"healthy", "suspect", "trial"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}
