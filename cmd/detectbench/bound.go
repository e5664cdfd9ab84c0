package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// boundDraws is the number of outcomes from which the class shares of a fault are taken.
const boundDraws = 200_000

// leastRequests returns Lorden's bound for the class shares of a scenario's fault.
func leastRequests(s scenario, falseAlarmRate float64) float64 {
	rng := rand.New(rand.NewPCG(1, 0xb01d))
	var shares detect.Shares
	for range boundDraws {
		d := s.draw(moment{rng: rng, target: 0, since: time.Millisecond})
		shares[classOf(d.outcome)] += 1.0 / boundDraws
	}
	return detect.LordenBound(falseAlarmRate, shares)
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
