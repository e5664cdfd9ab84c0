package quarantine

// Evidence is what a loss says about a fingerprint that ran at the lost target. The evidence of several nodes on one loss is the
// greatest one.
type Evidence uint8

const (
	// Unproven means that no success of the fingerprint is known.
	Unproven Evidence = iota
	// Coincident means that the fingerprint has succeeded recently, and that the run began before an earlier loss was known. The
	// loss probably has another cause, like that of a failure domain.
	Coincident
	// Isolated means that the run began after an earlier loss was known, so it was the only one of the fingerprint on this node.
	Isolated
	// Ordered means that an operator has ordered the quarantine.
	Ordered
)

// incriminates reports whether the loss counts towards LossLimit.
func (e Evidence) incriminates() bool { return e != Coincident }

// confirms reports whether a success that was under way at the time of the loss does not clear it.
func (e Evidence) confirms() bool { return e >= Isolated }
