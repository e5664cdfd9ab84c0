package quota

// bucket holds the tokens of one account at a distributor. It gains tokens with the share-seconds of the distributor, the integral
// of its share over time, so that it need not be updated when the share changes.
type bucket struct {
	limit  Limit
	tokens float64
	// filledTo is the share-seconds up to which tokens were added.
	filledTo float64
}

// fill adds the tokens gained since the last call, up to the capacity of the holding.
func (b *bucket) fill(shareSeconds float64, h holding) {
	b.tokens += b.limit.PerSecond * max(shareSeconds-b.filledTo, 0)
	b.filledTo = shareSeconds
	b.clamp(h)
}

// clamp drops the tokens above the capacity of the holding.
func (b *bucket) clamp(h holding) { b.tokens = min(b.tokens, b.limit.capacity(h)) }
