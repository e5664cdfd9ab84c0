package detect

import "math"

// LeastRequests returns Lorden's bound: the least mean number of requests to the detection of a fault with the given
// class shares that any test can reach whose false alarm rate per request holds for every healthy target. Healthy
// targets are all those whose shares are within the ones that the detector believes; the bound is the one against the
// healthy target that is most like the fault.
func LeastRequests(falseAlarmRate float64, fault Shares) float64 {
	return math.Log(1/falseAlarmRate) / divergence(fault, nearestHealthy(fault))
}

// divergence returns the Kullback-Leibler divergence of a from b, in nats per request.
func divergence(a, b Shares) float64 {
	sum := 0.0
	for class, share := range a {
		if share > 0 {
			sum += share * math.Log(share/b[class])
		}
	}
	return sum
}

// nearestHealthy returns the healthy shares with the least divergence of the fault from them: the greatest believed
// share where the fault has more, and the rest in the proportions of the fault.
func nearestHealthy(fault Shares) Shares {
	limits := leastShares
	limits[Prompt] = 1
	var capped [classes]bool
	for {
		healthy := fillRest(fault, limits, capped)
		over := false
		for class := range healthy {
			if !capped[class] && healthy[class] > limits[class] {
				capped[class] = true
				over = true
			}
		}
		if !over {
			return healthy
		}
	}
}

// fillRest gives capped classes their limit and the others the rest in the proportions of the fault.
func fillRest(fault, limits Shares, capped [classes]bool) Shares {
	rest, open := 1.0, 0.0
	for class := range fault {
		if capped[class] {
			rest -= limits[class]
		} else {
			open += fault[class]
		}
	}
	var healthy Shares
	for class := range fault {
		switch {
		case capped[class]:
			healthy[class] = limits[class]
		case open > 0:
			healthy[class] = fault[class] * rest / open
		}
	}
	return healthy
}
