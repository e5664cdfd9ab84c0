package detect

import "math"

// hypothesis is one way of failing: a share of the requests is spoilt, and comes out with the given probabilities.
type hypothesis struct {
	name string
	// rate is the share of spoilt requests; 0 stands for the policy's failure rate.
	rate float64
	// spoilt holds the probability of each class for a spoilt request.
	spoilt Shares
}

// nearlyAll is the share of spoilt requests at a target that does no useful work.
const nearlyAll = 0.95

// hypotheses is the number of ways of failing that are tested at a time.
const hypotheses = 5

var bank = [hypotheses]hypothesis{
	{name: "errors", spoilt: Shares{Failed: 1}},
	{name: "dead", rate: nearlyAll, spoilt: Shares{Failed: 1}},
	{name: "silent", rate: nearlyAll, spoilt: Shares{Stalled: 0.2, Silent: 0.7, Failed: 0.1}},
	{name: "often slow", spoilt: Shares{Slow: 0.1, Stalled: 0.6, Silent: 0.3}},
	{name: "always slow", rate: nearlyAll, spoilt: Shares{Slow: 0.4, Stalled: 0.45, Silent: 0.15}},
}

// ratios holds the log-likelihood ratio of each class under one hypothesis.
type ratios [classes]float64

// against returns the ratios of the hypothesis against healthy shares.
func (h *hypothesis) against(healthy Shares, failureRate float64) ratios {
	rate := h.rate
	if rate == 0 {
		rate = failureRate
	}
	var r ratios
	for class := range r {
		r[class] = math.Log(1 - rate + rate*h.spoilt[class]/healthy[class])
	}
	return r
}

// of returns the log-likelihood ratio of counts.
func (r ratios) of(counts Counts) float64 {
	sum := 0.0
	for class, n := range counts {
		if n > 0 {
			sum += n * r[class]
		}
	}
	return sum
}
