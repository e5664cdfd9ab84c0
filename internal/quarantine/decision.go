package quarantine

import "time"

// Decision is the result of MayRun.
type Decision struct {
	// Allowed means that the request may run.
	Allowed bool
	// Quarantined means that the fingerprint is quarantined; waiting does not help.
	Quarantined bool
	// RecheckAfter is the time after which to call MayRun again if the request must only wait; 0 otherwise.
	RecheckAfter time.Duration
}
