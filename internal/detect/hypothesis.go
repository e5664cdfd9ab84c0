package detect

import "math"

// hypothesis describes one kind of fault: it affects a share of the requests, and the affected requests have the given
// class probabilities.
type hypothesis struct {
	name string
	// affectedShare is the share of affected requests; 0 means the policy's failure rate.
	affectedShare float64
	// faultShares holds the probability of each class for an affected request.
	faultShares Shares
}

// totalFaultShare is the share of affected requests at a target that completes almost no request normally.
const totalFaultShare = 0.95

// hypothesisCount is the number of hypotheses that are tested concurrently.
const hypothesisCount = 5

var faultHypotheses = [hypothesisCount]hypothesis{
	{name: "errors", faultShares: Shares{Failed: 1}},
	{name: "dead", affectedShare: totalFaultShare, faultShares: Shares{Failed: 1}},
	{name: "silent", affectedShare: totalFaultShare, faultShares: Shares{Stalled: 0.2, Unresponsive: 0.7, Failed: 0.1}},
	{name: "often slow", faultShares: Shares{Slow: 0.1, Stalled: 0.6, Unresponsive: 0.3}},
	{name: "always slow", affectedShare: totalFaultShare, faultShares: Shares{Slow: 0.4, Stalled: 0.45, Unresponsive: 0.15}},
}

// ratios holds the log-likelihood ratio of each class under one hypothesis.
type ratios [classCount]float64

// ratiosAgainst returns the ratios of the hypothesis against the given healthy shares.
func (h *hypothesis) ratiosAgainst(healthy Shares, failureRate float64) ratios {
	share := h.affectedShare
	if share == 0 {
		share = failureRate
	}
	var r ratios
	for class := range r {
		r[class] = math.Log(1 - share + share*h.faultShares[class]/healthy[class])
	}
	return r
}

// sum returns the log-likelihood ratio of the given counts.
func (r ratios) sum(counts Counts) float64 {
	total := 0.0
	for class, n := range counts {
		if n > 0 {
			total += n * r[class]
		}
	}
	return total
}
