package once

import "time"

const (
	defaultRetention     = 24 * time.Hour
	defaultOperationTTL  = 10 * time.Minute
	defaultMaxOperations = 1 << 14
	defaultMaxBytes      = 16 << 20
	defaultGrantTTL      = 30 * time.Second
	// clockSkew is the maximum difference between the wall clocks of two nodes that garbage collection tolerates.
	clockSkew = 5 * time.Minute
)

// Options sets the clock and the bounds of Claims. Zero values select the defaults.
type Options struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Retention is the time for which a claim stays in the store after its outcome; the default is 24 h.
	Retention time.Duration
	// OperationTTL is the time for which an ended claim stays in the holder's cache; the default is 10 min.
	OperationTTL time.Duration
	// MaxOperations bounds the ended claims in the cache; the default is 16,384.
	MaxOperations int
	// MaxBytes bounds the responses in the cache, in bytes; the default is 16 MiB.
	MaxBytes int64
	// GrantTTL is the time within which a grant may dispatch if its context has no deadline; the default is 30 s.
	GrantTTL time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.OperationTTL = orDefault(o.OperationTTL, defaultOperationTTL)
	o.MaxOperations = orDefault(o.MaxOperations, defaultMaxOperations)
	o.MaxBytes = orDefault(o.MaxBytes, defaultMaxBytes)
	o.GrantTTL = orDefault(o.GrantTTL, defaultGrantTTL)
	return o
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
