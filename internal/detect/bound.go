package detect

import "math"

// LordenBound returns Lorden's lower bound on the mean number of requests until a fault with the given class shares is
// detected. It applies to every test that keeps the false alarm rate per request for all healthy targets. A target is
// healthy if its shares are within minShares; the bound is computed against the healthy target that is most similar to
// the fault.
func LordenBound(falseAlarmRate float64, fault Shares) float64 {
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

// nearestHealthy returns the healthy shares from which the fault diverges least. Classes in which the fault exceeds the
// healthy limit get the limit; the other classes share the rest in the proportions of the fault.
func nearestHealthy(fault Shares) Shares {
	limits := minShares
	limits[Prompt] = 1
	var capped [classCount]bool
	for {
		healthy := fillRest(fault, limits, capped)
		exceeded := false
		for class := range healthy {
			if !capped[class] && healthy[class] > limits[class] {
				capped[class] = true
				exceeded = true
			}
		}
		if !exceeded {
			return healthy
		}
	}
}

// fillRest sets capped classes to their limit and distributes the rest in the proportions of the fault.
func fillRest(fault, limits Shares, capped [classCount]bool) Shares {
	rest, uncapped := 1.0, 0.0
	for class := range fault {
		if capped[class] {
			rest -= limits[class]
		} else {
			uncapped += fault[class]
		}
	}
	var healthy Shares
	for class := range fault {
		switch {
		case capped[class]:
			healthy[class] = limits[class]
		case uncapped > 0:
			healthy[class] = fault[class] * rest / uncapped
		}
	}
	return healthy
}
