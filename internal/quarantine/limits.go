package quarantine

import "time"

const (
	// LossLimit is the number of losses at which a fingerprint is quarantined.
	LossLimit = 2
	// LossTTL is the time for which a single loss is attributed to a fingerprint. It is longer than the maximum timeout
	// of a request including its client retries.
	LossTTL = 2 * time.Minute
	// QuarantineTTL is the time for which a fingerprint is quarantined unless it is released. Afterwards the
	// fingerprint has no losses.
	QuarantineTTL = 30 * time.Minute
	// MaxEntries is the maximum number of entries in a table. Above it, the entry with the fewest losses is evicted,
	// and among those the oldest.
	MaxEntries = 4096
	// RecheckDelay is the time after which to call MayRun again for a request that must wait for the end of another
	// run.
	RecheckDelay = 50 * time.Millisecond
)

const (
	// unconfirmedProbeDelay is the time from a quarantine until its first probe if all losses may have one cause, confirmedProbeDelay
	// that if one of them came after another was known.
	unconfirmedProbeDelay = 10 * time.Second
	confirmedProbeDelay   = 30 * time.Second
	// probeGrowth is the factor between two intervals. After maxProbeGrowths probes the interval is longer than QuarantineTTL.
	probeGrowth     = 4
	maxProbeGrowths = 4
	// probeRetryDelay is the time after which a node may ask for a probe again.
	probeRetryDelay = time.Second
)
