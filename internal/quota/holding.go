package quota

import "math"

// holding is what a distributor has of every limit.
type holding struct {
	// share is the sum of the parts.
	share float64
	// isMajority means that no other distributor can have a majority at the same time.
	isMajority bool
}

// shareRounding is above the rounding error of a sum of parts.
const shareRounding = 1e-9

// newHolding returns the holding of a sum of parts, which is a majority if it is more than a half, or a half with the casting part.
func newHolding(share float64, hasCasting bool) holding {
	// Parts of nodes that count the fleet differently may add up to more.
	share = min(share, 1)
	isHalf := math.Abs(share-0.5) <= shareRounding
	return holding{share: share, isMajority: share > 0.5+shareRounding || isHalf && hasCasting}
}

// least returns the holding that allows no more than either.
func (h holding) least(other holding) holding {
	return holding{share: min(h.share, other.share), isMajority: h.isMajority && other.isMajority}
}
