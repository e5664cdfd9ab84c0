package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

const (
	pageRoute    detect.Route = "/"
	archiveRoute detect.Route = "/archive"
	// archiveShare is the share of archive pulls among the requests.
	archiveShare = 0.01
	// pageFirstByte and archiveFirstByte are the median times to the first byte of a healthy target.
	pageFirstByte    = 25 * time.Millisecond
	archiveFirstByte = 200 * time.Millisecond
	// archiveBody is the transfer time of the body of an archive.
	archiveBody = 2 * time.Second
	// latencySigma is the standard deviation of the logarithm of the time to the first byte.
	latencySigma = 0.5
	// healthyFailureShare is the share of requests that fail at a healthy target.
	healthyFailureShare = 0.01
)

// healthyOutcome draws an outcome of a healthy target.
func healthyOutcome(rng *rand.Rand) drawnOutcome {
	route, median, body := pageRoute, pageFirstByte, time.Duration(0)
	if rng.Float64() < archiveShare {
		route, median, body = archiveRoute, archiveFirstByte, archiveBody
	}
	first := time.Duration(float64(median) * math.Exp(latencySigma*rng.NormFloat64()))
	d := drawnOutcome{outcome: detect.Outcome{Route: route, FirstByte: first}, duration: first + body}
	if rng.Float64() < healthyFailureShare {
		return d.withFailure("", first)
	}
	return d
}

// isIgnored reports whether the baseline methods ignore an outcome. They ignore the same outcomes as the detector.
func isIgnored(outcome detect.Outcome) bool { return outcome.Reason != "" && !outcome.Failed }
