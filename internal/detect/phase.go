package detect

// Phase is the phase of the failure detector of a target.
type Phase uint8

const (
	// Healthy means that the evidence is insufficient to suspect the target.
	Healthy Phase = iota
	// Suspected means that the target is suspected of failing and that the hold-down has not ended.
	Suspected
	// InTrial means that the target receives trial requests, which decide whether it returns.
	InTrial
)

var phaseNames = [...]string{"healthy", "suspect", "trial"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}
