package relay

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// bitsPerByte converts link rates to byte rates.
	bitsPerByte = 8
	// chunkBytes is the maximum number of bytes per read.
	chunkBytes = 32 << 10
)

// Link is a simulated network link with a limited rate in each direction. Several relays can share one.
type Link struct {
	limiters [numDirections]*rate.Limiter
}

// NewLink returns a link with a rate of bitsPerSecond in each direction.
func NewLink(bitsPerSecond float64) *Link {
	link := &Link{}
	for i := range link.limiters {
		link.limiters[i] = rate.NewLimiter(rate.Limit(bitsPerSecond/bitsPerByte), chunkBytes)
	}
	return link
}

// wait blocks until the rate limit of the direction permits n bytes, n at most chunkBytes. A nil link has no limit.
func (l *Link) wait(ctx context.Context, d Direction, n int) error {
	if l == nil {
		return ctx.Err()
	}
	return l.limiters[d].WaitN(ctx, n)
}
