package quarantine

import "time"

// Ruling says whether a request may run now.
type Ruling struct {
	// OK means that the request may run.
	OK bool
	// Quarantined means that the fingerprint is quarantined; waiting does not help.
	Quarantined bool
	// Wait is the time after which to ask again, if the fingerprint is only held back; 0 otherwise.
	Wait time.Duration
}
