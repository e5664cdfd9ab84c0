package node

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkBurst is how much traffic may pass at once after a quiet time.
	linkBurst = time.Second
	// bulkReserve is the share of the burst that bulk requests leave for interactive ones.
	bulkReserve = 0.5
)

// linkBudget bounds the bytes that this node draws over links between regions.
type linkBudget struct {
	limiter *rate.Limiter
	burst   int
}

// newLinkBudget returns a budget without a bound if bytesPerSecond is 0.
func newLinkBudget(bytesPerSecond int64) *linkBudget {
	if bytesPerSecond <= 0 {
		return nil
	}
	burst := int(float64(bytesPerSecond) * linkBurst.Seconds())
	return &linkBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), burst: burst}
}

// allows reports whether a request may go to another region now. Bulk requests stop first.
func (b *linkBudget) allows(bulk bool) bool {
	if b == nil {
		return true
	}
	left := b.limiter.Tokens()
	if bulk {
		return left > bulkReserve*float64(b.burst)
	}
	return left > 0
}

// spend takes bytes that have passed. The balance may become negative, so that a large answer is paid back before the
// next request crosses.
func (b *linkBudget) spend(bytes int) {
	if b == nil {
		return
	}
	for bytes > 0 {
		n := min(bytes, b.burst)
		b.limiter.ReserveN(time.Now(), n)
		bytes -= n
	}
}
