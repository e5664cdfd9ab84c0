package admission

import "time"

// Limits bounds what a Point keeps.
type Limits struct {
	// QueuePerTarget is the number of attempts that may wait for a slot of one target.
	QueuePerTarget int
	// HeldBytes is the total size of the answers held for collection, in bytes.
	HeldBytes int64
	// HeldFor is the time for which an answer is held for collection.
	HeldFor time.Duration
	// FenceFor is the time for which fences and the records of ended attempts are kept. It is at least MaxAdmitAhead
	// plus the greatest age of the Hello from which accepting nodes compute AdmitBefore.
	FenceFor time.Duration
	// MaxAdmitAhead is the greatest distance of AdmitBefore from the present.
	MaxAdmitAhead time.Duration
	// MissingAfter is the time without an announcement after which a target counts as missing.
	MissingAfter time.Duration
	// RampFor is the time over which a cold target gets its slots.
	RampFor time.Duration
	// Records is the number of ended attempts and fences to keep. Beyond it the oldest are replaced by a watermark.
	Records int
}

const (
	defaultQueuePerTarget = 4
	defaultHeldBytes      = 16 << 20
	defaultHeldFor        = 30 * time.Second
	defaultFenceFor       = 60 * time.Second
	defaultMaxAdmitAhead  = 30 * time.Second
	defaultMissingAfter   = 5 * time.Second
	defaultRampFor        = 10 * time.Second
	defaultRecords        = 1 << 16
)

// DefaultLimits returns the limits of a node in production.
func DefaultLimits() Limits {
	return Limits{
		QueuePerTarget: defaultQueuePerTarget,
		HeldBytes:      defaultHeldBytes,
		HeldFor:        defaultHeldFor,
		FenceFor:       defaultFenceFor,
		MaxAdmitAhead:  defaultMaxAdmitAhead,
		MissingAfter:   defaultMissingAfter,
		RampFor:        defaultRampFor,
		Records:        defaultRecords,
	}
}

// withBounds returns the limits with the values that safety needs: a fence outlives every frame sent before it.
func (l Limits) withBounds() Limits {
	l.FenceFor = max(l.FenceFor, l.MaxAdmitAhead)
	if l.Records <= 0 {
		l.Records = defaultRecords
	}
	return l
}
