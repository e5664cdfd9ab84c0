package detect

// Shares is the probability of each class for a healthy target.
type Shares [classes]float64

// leastShares are the smallest probabilities that are believed of a healthy target. They bound the weight of a single
// outcome, so that no test convicts a target on one or two requests. A target that is half as fast as the others is slow
// for a fifth of its answers and need not be ejected; the share of Slow keeps it from being convicted.
var leastShares = Shares{Slow: 0.1, Stalled: 0.005, Silent: 0.001, Failed: 0.01}

const (
	// priorWeight is the number of requests that the default shares count for.
	priorWeight = 20
	// sameWeight is the number of requests that the long window counts for in a comparison of the same period. It is
	// small, because a trouble of the whole service has to show at its first requests.
	sameWeight = 5
)

// DefaultShares returns the shares that are assumed of peers without traffic.
func DefaultShares() Shares { return leastShares.after(Counts{}, priorWeight) }

// after returns the shares after counts were seen; the shares before count for the given number of requests.
func (s Shares) after(seen Counts, weight float64) Shares {
	total := seen.Total() + weight
	var shares Shares
	for class := Slow; class < classes; class++ {
		shares[class] = max(leastShares[class], (s[class]*weight+seen[class])/total)
	}
	return shares.withRest()
}

// worse returns the greater share of each class but Prompt.
func (s Shares) worse(other Shares) Shares {
	for class := Slow; class < classes; class++ {
		s[class] = max(s[class], other[class])
	}
	return s.withRest()
}

// withRest sets the share of Prompt to what the other classes leave.
func (s Shares) withRest() Shares {
	rest := 1.0
	for class := Slow; class < classes; class++ {
		rest -= s[class]
	}
	s[Prompt] = max(rest, leastPrompt)
	return s
}

// leastPrompt is the smallest share of prompt answers that is assumed, so that the ratio stays finite.
const leastPrompt = 0.001
