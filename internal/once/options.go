package once

import "time"

const (
	defaultRetention     = 24 * time.Hour
	defaultKeepFor       = 10 * time.Minute
	defaultMaxOperations = 1 << 14
	defaultMaxBytes      = 16 << 20
	defaultGrantFor      = 30 * time.Second
	// clockSkew is the greatest difference between the wall clocks of two nodes that garbage collection allows for.
	clockSkew = 5 * time.Minute
)

// Options sets the clock and the bounds of Claims. Zero values mean the defaults.
type Options struct {
	// Clock returns the present time; nil means time.Now.
	Clock func() time.Time
	// Retention is the time for which a claim is kept after its outcome; the default is 24 h.
	Retention time.Duration
	// KeepFor is the time for which Operation knows an ended claim; the default is 10 min.
	KeepFor time.Duration
	// MaxOperations bounds the ended claims that Operation knows; the default is 16,384.
	MaxOperations int
	// MaxBytes bounds the answers that Operation holds, in bytes; the default is 16 MiB.
	MaxBytes int64
	// GrantFor is the time to dispatch of a grant whose context has no deadline; the default is 30 s.
	GrantFor time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.KeepFor = orDefault(o.KeepFor, defaultKeepFor)
	o.MaxOperations = orDefault(o.MaxOperations, defaultMaxOperations)
	o.MaxBytes = orDefault(o.MaxBytes, defaultMaxBytes)
	o.GrantFor = orDefault(o.GrantFor, defaultGrantFor)
	return o
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
