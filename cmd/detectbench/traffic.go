package main

import (
	"fmt"
	"time"
)

// traffic is the size of the targets and the load of the service.
type traffic struct {
	slots int
	// rate is the mean number of requests per second and target.
	rate float64
	name string
}

const (
	// lowRate is a quiet hour, in requests per second and target.
	lowRate = 1
	// highRate is about 40% of what a slot can do, in requests per second and slot: the mean request takes 47 ms.
	highRate = 8
	// targets is the number of targets of the service.
	targets = 8
	// floorTargets is the floor, in targets of full slots.
	floorTargets = 6
)

// levels returns the loads that are measured.
func levels() []traffic {
	var all []traffic
	for _, slots := range []int{3, 7} {
		all = append(all,
			traffic{slots: slots, rate: lowRate, name: fmt.Sprintf("%d/low", slots)},
			traffic{slots: slots, rate: highRate * float64(slots), name: fmt.Sprintf("%d/high", slots)})
	}
	return all
}

const (
	// exchangeEvery is the interval of the regular exchange of reports.
	exchangeEvery = time.Second
	// exchangeDelay is the time that reports travel in a regular exchange.
	exchangeDelay = 100 * time.Millisecond
	// askDelay is the time one way of reports that are asked for at once, between regions.
	askDelay = 20 * time.Millisecond
	// watchEvery is the interval at which requests in flight are looked at.
	watchEvery = 100 * time.Millisecond
	// probeEvery is the interval of probes.
	probeEvery = time.Second
	// stuckAfter is the time after which a request without first byte counts as evidence of silence.
	stuckAfter = 10 * pageFirstByte
	// firstByteLimit is the route's time to the first byte.
	firstByteLimit = 5 * time.Second
)
