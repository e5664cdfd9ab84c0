package main

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

const (
	// rateInterval is the time over which the success-rate baseline counts.
	rateInterval = 10 * time.Second
	// rateMinimum is the number of requests below which it does not judge a target.
	rateMinimum = 10
	// rateDeviations is the number of standard deviations below the mean at which it ejects.
	rateDeviations = 1.9
	// rateLeastGap is the least difference to the mean at which it ejects, as a share.
	rateLeastGap = 0.05
)

// successRate is the baseline that compares the success rate of a target with the mean of all targets.
type successRate struct {
	target int
	work   detect.Counts
	last   []detect.Counts
	judged time.Duration
	until  time.Duration
}

func successRateAgainstMean() method {
	return method{name: "success rate", make: func(target int) judge { return &successRate{target: target} }}
}

func (s *successRate) observe(_ time.Duration, outcome detect.Outcome) {
	switch {
	case ignored(outcome):
	case outcome.Failed:
		s.work[detect.Failed]++
	default:
		s.work[detect.Prompt]++
	}
}

func (s *successRate) silence(time.Duration, []detect.InFlight) {}
func (s *successRate) probe(time.Duration, bool)                {}
func (s *successRate) report() detect.Report                    { return detect.Report{Counts: s.work} }
func (s *successRate) asks(time.Duration) bool                  { return false }
func (s *successRate) suspects(now time.Duration) bool          { return now < s.until }
func (s *successRate) tries(time.Duration) bool                 { return false }

func (s *successRate) compare(now time.Duration, seen *sight) {
	if now-s.judged < rateInterval {
		return
	}
	s.judged = now
	rates, own := s.rates(seen.reports)
	s.last = s.last[:0]
	for _, report := range seen.reports {
		s.last = append(s.last, report.Counts)
	}
	if own < 0 || len(rates) < 2 {
		return
	}
	mean, deviation := moments(rates)
	if own < mean-max(rateLeastGap, rateDeviations*deviation) {
		s.until = now + baselineHold
	}
}

// rates returns the success rates of the targets with enough requests in the interval, and that of the own target, -1
// if it has too few.
func (s *successRate) rates(reports []detect.Report) ([]float64, float64) {
	own := -1.0
	var rates []float64
	for i, report := range reports {
		counts := report.Counts
		if i < len(s.last) {
			counts = counts.Plus(s.last[i].Times(-1))
		}
		if counts.Total() < rateMinimum {
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

// moments returns the mean and the standard deviation.
func moments(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		deviation += (value - mean) * (value - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}

func (s *successRate) cause(time.Duration) string { return "success rate" }
