package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// boundDraws is the number of outcomes from which the class shares of a fault are taken.
const boundDraws = 200_000

// divergence returns the Kullback-Leibler divergence of a fault's classes from those of a healthy target, in nats per
// request. The healthy shares are the ones that the detector believes at least, which is 1% failures.
func divergence(s scenario) float64 {
	rng := rand.New(rand.NewPCG(1, 0xb01d))
	var counts detect.Counts
	for range boundDraws {
		d := s.draw(moment{rng: rng, target: 0, since: time.Millisecond})
		counts[classOf(d.outcome)]++
	}
	healthy := detect.DefaultShares()
	sum := 0.0
	for class, n := range counts {
		if share := n / boundDraws; share > 0 {
			sum += share * math.Log(share/healthy[class])
		}
	}
	return sum
}

// classOf returns the class that the detector gives an outcome with the right usual times.
func classOf(outcome detect.Outcome) detect.Class {
	switch {
	case outcome.Failed:
		return detect.Failed
	case outcome.Route == archiveRoute:
		return detect.ClassOf(outcome.FirstByte, archiveFirstByte)
	}
	return detect.ClassOf(outcome.FirstByte, pageFirstByte)
}

// leastRequests returns Lorden's bound: the least mean number of requests to a detection that any test with a false
// alarm rate per request can reach.
func leastRequests(s scenario, falseAlarmRate float64) float64 {
	return math.Log(1/falseAlarmRate) / divergence(s)
}
