package detect

import "time"

// comparison is what the other targets saw, as far as it matters for the evidence against one target.
type comparison struct {
	others      []*peer
	long        Shares
	recent      Shares
	failureRate float64
}

// since returns the ratios of a hypothesis against what the other targets saw since start.
func (c comparison) since(start time.Duration, hypothesis int) ratios {
	same := c.long.after(pool(c.others, sinceStart(start)), sameWeight).worse(c.recent)
	return bank[hypothesis].against(same, c.failureRate)
}
