package admission

import "time"

// Limits holds the limits and durations of a Point.
type Limits struct {
	// QueuePerTarget is the number of attempts that may wait for a slot of one target.
	QueuePerTarget int
	// RetainedBytes is the maximum total size of the retained responses, in bytes.
	RetainedBytes int64
	// RetainedTTL is the time for which a response is retained if it is not acknowledged.
	RetainedTTL time.Duration
	// FenceTTL is the time for which fences and the records of ended attempts are kept. It must be at least MaxAdmitAhead
	// plus the maximum age of the Hello from which accepting nodes compute AdmitBefore.
	FenceTTL time.Duration
	// MaxAdmitAhead is the maximum time by which AdmitBefore may lie in the future.
	MaxAdmitAhead time.Duration
	// MissingAfter is the time without an announcement after which a target counts as missing.
	MissingAfter time.Duration
	// RampDuration is the duration of the slow-start ramp, over which a cold target gets its slots.
	RampDuration time.Duration
	// Records is the maximum number of records of ended attempts and fences. Beyond it the oldest are replaced by a
	// watermark.
	Records int
}

const (
	defaultQueuePerTarget = 4
	defaultRetainedBytes  = 16 << 20
	defaultRetainedTTL    = 30 * time.Second
	defaultFenceTTL       = 60 * time.Second
	defaultMaxAdmitAhead  = 30 * time.Second
	defaultMissingAfter   = 5 * time.Second
	defaultRampDuration   = 10 * time.Second
	defaultRecords        = 1 << 16
)

// DefaultLimits returns the limits of a production node.
func DefaultLimits() Limits {
	return Limits{
		QueuePerTarget: defaultQueuePerTarget,
		RetainedBytes:  defaultRetainedBytes,
		RetainedTTL:    defaultRetainedTTL,
		FenceTTL:       defaultFenceTTL,
		MaxAdmitAhead:  defaultMaxAdmitAhead,
		MissingAfter:   defaultMissingAfter,
		RampDuration:   defaultRampDuration,
		Records:        defaultRecords,
	}
}

// withBounds returns the limits raised to the minimums that safety requires: a fence must outlive every frame sent
// before it.
func (l Limits) withBounds() Limits {
	l.FenceTTL = max(l.FenceTTL, l.MaxAdmitAhead)
	if l.Records <= 0 {
		l.Records = defaultRecords
	}
	return l
}
