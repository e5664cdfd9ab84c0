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
	// archiveBody is the time that the body of an archive takes.
	archiveBody = 2 * time.Second
	// spread is the standard deviation of the logarithm of the time to the first byte.
	spread = 0.5
	// healthyFailures is the share of requests that fail at a healthy target.
	healthyFailures = 0.01
)

// healthyOutcome draws an outcome of a healthy target.
func healthyOutcome(rng *rand.Rand) drawn {
	route, median, body := pageRoute, pageFirstByte, time.Duration(0)
	if rng.Float64() < archiveShare {
		route, median, body = archiveRoute, archiveFirstByte, archiveBody
	}
	first := time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
	d := drawn{outcome: detect.Outcome{Route: route, FirstByte: first}, takes: first + body}
	if rng.Float64() < healthyFailures {
		return d.failedWith("", first)
	}
	return d
}

// ignored reports whether the baselines leave an outcome out, as the detector does.
func ignored(outcome detect.Outcome) bool { return outcome.Reason != "" && !outcome.Failed }
