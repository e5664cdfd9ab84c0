package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// summary collects the results of the runs of one scenario.
type summary struct {
	runs, missed int
	wrong        int
	targetTime   time.Duration
	requestSum   float64
	evidenceSum  float64
	spoiltSum    float64
	requests     *hdrhistogram.Histogram
	delays       *hdrhistogram.Histogram
}

const (
	// greatestRequests and greatestDelay bound the histograms, in requests and milliseconds.
	greatestRequests = 10_000_000
	greatestDelay    = 10_000_000
	digits           = 3
)

func newSummary() *summary {
	return &summary{
		requests: hdrhistogram.New(1, greatestRequests, digits),
		delays:   hdrhistogram.New(1, greatestDelay, digits),
	}
}

// add takes in one result.
func (s *summary) add(r result) error {
	s.runs++
	s.wrong += r.wrong
	s.targetTime += r.length * targets
	s.spoiltSum += float64(r.spoilt)
	if r.firstSuspected < 0 {
		s.missed++
		return nil
	}
	s.requestSum += float64(r.requests)
	s.evidenceSum += float64(r.evidence)
	if err := s.requests.RecordValue(int64(r.requests)); err != nil {
		return err
	}
	return s.delays.RecordValue(r.firstSuspected.Milliseconds())
}

// meanRequests returns the mean number of requests to a detection.
func (s *summary) meanRequests() float64 { return s.requestSum / float64(max(1, s.runs-s.missed)) }

// meanEvidence returns the mean number of outcomes to complete evidence.
func (s *summary) meanEvidence() float64 { return s.evidenceSum / float64(max(1, s.runs-s.missed)) }

// targetDays returns the time that was watched.
func (s *summary) targetDays() float64 { return s.targetTime.Hours() / 24 }

// wrongPerDay returns the false ejections per target and day.
func (s *summary) wrongPerDay() float64 { return float64(s.wrong) / s.targetDays() }
