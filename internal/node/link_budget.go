package node

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkBurst is the size of the token bucket, as the time in which it refills.
	linkBurst = time.Second
	// bulkReserveShare is the share of the bucket that bulk requests leave to interactive ones.
	bulkReserveShare = 0.5
)

// linkBudget limits the bytes of responses that this node receives from other regions.
type linkBudget struct {
	limiter *rate.Limiter
	burst   int
}

// newLinkBudget returns nil, a budget without a limit, if bytesPerSecond is not positive.
func newLinkBudget(bytesPerSecond int64) *linkBudget {
	if bytesPerSecond <= 0 {
		return nil
	}
	burst := int(float64(bytesPerSecond) * linkBurst.Seconds())
	return &linkBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst), burst: burst}
}

// allows reports whether a request may be sent to another region now. Bulk requests are refused first.
func (b *linkBudget) allows(bulk bool) bool {
	if b == nil {
		return true
	}
	available := b.limiter.Tokens()
	if bulk {
		return available > bulkReserveShare*float64(b.burst)
	}
	return available > 0
}

// consume subtracts received bytes from the budget. The balance may become negative: after a large response, further
// requests are refused until the bucket has refilled.
func (b *linkBudget) consume(bytes int) {
	if b == nil {
		return
	}
	for bytes > 0 {
		n := min(bytes, b.burst)
		b.limiter.ReserveN(time.Now(), n)
		bytes -= n
	}
}
