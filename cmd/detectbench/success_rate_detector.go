package main

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

const (
	// successRateInterval is the interval over which success rates are computed.
	successRateInterval = 10 * time.Second
	// successRateMinRequests is the number of requests in an interval below which a target has no success rate.
	successRateMinRequests = 10
	// successRateDeviations is the number of standard deviations below the mean at which a target is ejected.
	successRateDeviations = 1.9
	// successRateMinGap is the smallest difference from the mean at which a target is ejected.
	successRateMinGap = 0.05
)

// successRateDetector is the baseline method that compares the success rate of a target with the mean of all targets.
type successRateDetector struct {
	target       int
	counts       detect.Counts
	previous     []detect.Counts
	comparedAt   time.Duration
	ejectedUntil time.Duration
}

func successRateAgainstMean() method {
	return method{name: "success rate", newDetector: func(target int) detector { return &successRateDetector{target: target} }}
}

func (s *successRateDetector) observe(_ time.Duration, outcome detect.Outcome) {
	switch {
	case isIgnored(outcome):
	case outcome.Failed:
		s.counts[detect.Failed]++
	default:
		s.counts[detect.Prompt]++
	}
}

func (s *successRateDetector) observeInFlight(time.Duration, []detect.InFlight) {}
func (s *successRateDetector) observeHealthProbe(time.Duration, bool)           {}
func (s *successRateDetector) report() detect.Report                            { return detect.Report{Counts: s.counts} }
func (s *successRateDetector) awaitsReports(time.Duration) bool                 { return false }
func (s *successRateDetector) isSuspected(now time.Duration) bool               { return now < s.ejectedUntil }
func (s *successRateDetector) beginTrial(time.Duration) bool                    { return false }

func (s *successRateDetector) compareWithPeers(now time.Duration, set *reportSet) {
	if now-s.comparedAt < successRateInterval {
		return
	}
	s.comparedAt = now
	rates, own := s.rates(set.reports)
	s.previous = s.previous[:0]
	for _, report := range set.reports {
		s.previous = append(s.previous, report.Counts)
	}
	if own < 0 || len(rates) < 2 {
		return
	}
	mean, deviation := meanAndDeviation(rates)
	if own < mean-max(successRateMinGap, successRateDeviations*deviation) {
		s.ejectedUntil = now + baselineEjectionTime
	}
}

// rates returns the success rates of the targets with enough requests in the interval, and the rate of the detector's
// own target, -1 if it has too few requests.
func (s *successRateDetector) rates(reports []detect.Report) ([]float64, float64) {
	own := -1.0
	var rates []float64
	for i, report := range reports {
		counts := report.Counts
		if i < len(s.previous) {
			counts = counts.Plus(s.previous[i].Times(-1))
		}
		if counts.Total() < successRateMinRequests {
			continue
		}
		rate := counts[detect.Prompt] / counts.Total()
		rates = append(rates, rate)
		if i == s.target {
			own = rate
		}
	}
	return rates, own
}

// meanAndDeviation returns the mean and the standard deviation.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		deviation += (value - mean) * (value - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}

func (s *successRateDetector) cause(time.Duration) string { return "success rate" }
