package detect

// Shares holds the probability of each class.
type Shares [classCount]float64

// minShares holds the smallest probabilities that are assumed for a healthy target. They limit the weight of a single
// outcome, so that one or two requests alone do not make a target suspected. A target that is half as fast as the
// others is slow for a fifth of its responses and need not be ejected; the share of Slow is large enough that it is not
// suspected.
var minShares = Shares{Slow: 0.1, Stalled: 0.005, Unresponsive: 0.001, Failed: 0.01}

const (
	// priorWeight is the weight of the default shares, as a number of requests.
	priorWeight = 20
	// samePeriodWeight is the weight of the long-term shares, as a number of requests, in a comparison of the same
	// period. It is small, because a fault of the whole service must be recognized at the first affected requests.
	samePeriodWeight = 5
)

// DefaultShares returns the shares that are assumed for peers without traffic.
func DefaultShares() Shares { return minShares.posterior(Counts{}, priorWeight) }

// posterior returns the shares updated with the observed counts. The weight of the prior shares is a number of
// requests.
func (s Shares) posterior(observed Counts, weight float64) Shares {
	total := observed.Total() + weight
	var shares Shares
	for class := Slow; class < classCount; class++ {
		shares[class] = max(minShares[class], (s[class]*weight+observed[class])/total)
	}
	return shares.normalized()
}

// maxPerClass returns the greater share of each class except Prompt, which gets the remainder.
func (s Shares) maxPerClass(other Shares) Shares {
	for class := Slow; class < classCount; class++ {
		s[class] = max(s[class], other[class])
	}
	return s.normalized()
}

// normalized sets the share of Prompt to the remainder of the other classes.
func (s Shares) normalized() Shares {
	rest := 1.0
	for class := Slow; class < classCount; class++ {
		rest -= s[class]
	}
	s[Prompt] = max(rest, minPromptShare)
	return s
}

// minPromptShare is the smallest share of prompt responses that is assumed, so that the ratio stays finite.
const minPromptShare = 0.001
