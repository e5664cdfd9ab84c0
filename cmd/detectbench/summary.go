package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// summary aggregates the results of the traces of one scenario.
type summary struct {
	runs, missed     int
	falseEjections   int
	targetTime       time.Duration
	requestSum       float64
	evidenceSum      float64
	failedRequestSum float64
	requests         *hdrhistogram.Histogram
	delays           *hdrhistogram.Histogram
}

const (
	// maxRequests and maxDelayMS are the upper limits of the histograms.
	maxRequests       = 10_000_000
	maxDelayMS        = 10_000_000
	significantDigits = 3
)

func newSummary() *summary {
	return &summary{
		requests: hdrhistogram.New(1, maxRequests, significantDigits),
		delays:   hdrhistogram.New(1, maxDelayMS, significantDigits),
	}
}

func (s *summary) add(r result) error {
	s.runs++
	s.falseEjections += r.falseEjections
	s.targetTime += r.length * targets
	s.failedRequestSum += float64(r.failedRequests)
	if r.detectionDelay < 0 {
		s.missed++
		return nil
	}
	s.requestSum += float64(r.requests)
	s.evidenceSum += float64(r.evidence)
	if err := s.requests.RecordValue(int64(r.requests)); err != nil {
		return err
	}
	return s.delays.RecordValue(r.detectionDelay.Milliseconds())
}

// meanRequests returns the mean number of requests to a detection.
func (s *summary) meanRequests() float64 { return s.requestSum / float64(max(1, s.runs-s.missed)) }

// meanEvidence returns the mean number of outcomes after which the evidence against the failing target was complete.
func (s *summary) meanEvidence() float64 { return s.evidenceSum / float64(max(1, s.runs-s.missed)) }

// targetDays returns the simulated time of all targets in days.
func (s *summary) targetDays() float64 { return s.targetTime.Hours() / 24 }

// falseEjectionsPerDay returns the number of false ejections per target-day.
func (s *summary) falseEjectionsPerDay() float64 { return float64(s.falseEjections) / s.targetDays() }
