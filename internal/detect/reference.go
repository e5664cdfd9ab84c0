package detect

import "time"

// reference holds the data of the other targets that the evidence against one target is compared with.
type reference struct {
	others      []*peer
	longTerm    Shares
	recent      Shares
	failureRate float64
}

// minPeerOutcomeRatio is the number of outcomes that the other targets together need for each outcome of the alarm.
// With little traffic, a few consecutive requests at one target may be the first that are affected by a fault of all
// targets.
const minPeerOutcomeRatio = 3

// isSufficient reports whether the other targets have enough outcomes since start for a comparison with the given
// number of outcomes. Without other targets there is nothing to wait for.
func (c reference) isSufficient(start time.Duration, outcomes float64) bool {
	return len(c.others) == 0 || pool(c.others, outcomesSince(start)).Total() >= minPeerOutcomeRatio*outcomes
}

// ratiosSince returns the ratios of a hypothesis against the outcomes of the other targets since start.
func (c reference) ratiosSince(start time.Duration, hypothesis int) ratios {
	samePeriod := c.longTerm.posterior(pool(c.others, outcomesSince(start)), samePeriodWeight).maxPerClass(c.recent)
	return faultHypotheses[hypothesis].ratiosAgainst(samePeriod, c.failureRate)
}
