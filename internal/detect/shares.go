package detect

// Shares is the probability of each class for a healthy target.
type Shares [classes]float64

// leastShares are the smallest probabilities that are believed of a healthy target. They bound the weight of a single
// outcome, so that no test convicts a target on one or two requests.
var leastShares = Shares{Slow: 0.03, Stalled: 0.005, Silent: 0.001, Failed: 0.01}

// priorWeight is the number of requests that an earlier estimate counts for.
const priorWeight = 20

// DefaultShares returns the shares that are assumed of peers without traffic.
func DefaultShares() Shares { return estimate(leastShares, Counts{}) }

// estimate returns the shares after counts were seen, starting from an earlier estimate.
func estimate(prior Shares, seen Counts) Shares {
	total := seen.Total() + priorWeight
	var shares Shares
	rest := 1.0
	for class := Slow; class < classes; class++ {
		shares[class] = max(leastShares[class], (prior[class]*priorWeight+seen[class])/total)
		rest -= shares[class]
	}
	shares[Prompt] = max(rest, leastPrompt)
	return shares
}

// leastPrompt is the smallest share of prompt answers that is assumed, so that the ratio stays finite.
const leastPrompt = 0.001
