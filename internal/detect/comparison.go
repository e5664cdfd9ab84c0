package detect

import "time"

// comparison is what the other targets saw, as far as it matters for the evidence against one target.
type comparison struct {
	others      []*peer
	long        Shares
	recent      Shares
	failureRate float64
}

// leastOthers is the number of outcomes that the other targets together must have shown for each one of the claim. With
// little work, a few requests in a row at one target may be the first to show a trouble of all.
const leastOthers = 3

// enough reports whether the other targets have shown enough since start to judge a number of outcomes. Without other
// targets there is nothing to wait for.
func (c comparison) enough(start time.Duration, outcomes float64) bool {
	return len(c.others) == 0 || pool(c.others, sinceStart(start)).Total() >= leastOthers*outcomes
}

// since returns the ratios of a hypothesis against what the other targets saw since start.
func (c comparison) since(start time.Duration, hypothesis int) ratios {
	same := c.long.after(pool(c.others, sinceStart(start)), sameWeight).worse(c.recent)
	return bank[hypothesis].against(same, c.failureRate)
}
