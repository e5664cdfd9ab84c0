package quarantine

import "time"

const (
	// LossLimit is the number of losses at which a fingerprint is quarantined.
	LossLimit = 2
	// LossTTL is the time for which a single loss is held against a fingerprint. It is longer than the greatest
	// timeout of a request with its resends.
	LossTTL = 2 * time.Minute
	// QuarantineTTL is the time for which a fingerprint is quarantined without a release. After it, the fingerprint
	// starts again without losses.
	QuarantineTTL = 30 * time.Minute
	// MaxEntries is the greatest number of fingerprints with losses that a table holds. Beyond it, the entry with the
	// fewest losses and then the greatest age is dropped.
	MaxEntries = 4096
	// SuspectWait is the time after which a request whose fingerprint runs elsewhere should ask again.
	SuspectWait = 50 * time.Millisecond
)
