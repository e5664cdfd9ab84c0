package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// boundDraws is the number of generated outcomes from which the class shares of a fault are estimated.
const boundDraws = 200_000

// lordenBound returns Lorden's lower bound on the mean number of requests to a detection of the scenario's fault.
func lordenBound(s scenario, falseAlarmRate float64) float64 {
	rng := rand.New(rand.NewPCG(1, 0xb01d))
	var shares detect.Shares
	for range boundDraws {
		d := s.draw(drawContext{rng: rng, target: 0, sinceOnset: time.Millisecond})
		shares[classOf(d.outcome)] += 1.0 / boundDraws
	}
	return detect.LordenBound(falseAlarmRate, shares)
}

// classOf returns the class that the detector assigns to an outcome once its baseline latencies are accurate.
func classOf(outcome detect.Outcome) detect.Class {
	switch {
	case outcome.Failed:
		return detect.Failed
	case outcome.Route == archiveRoute:
		return detect.ClassOf(outcome.FirstByte, archiveFirstByte)
	}
	return detect.ClassOf(outcome.FirstByte, pageFirstByte)
}
