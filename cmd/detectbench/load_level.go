package main

import (
	"fmt"
	"time"
)

// loadLevel is the size of the targets with the load of the service.
type loadLevel struct {
	slots int
	// rate is the mean number of requests per second and target.
	rate float64
	name string
}

const (
	// lowRate is the request rate of a quiet hour, in requests per second and target.
	lowRate = 1
	// highRate is about 40% of the capacity of a slot, in requests per second and slot: the mean request takes 47 ms.
	highRate = 8
	// targets is the number of targets of the service.
	targets = 8
	// capacityFloorTargets is the capacity floor, in targets with all their slots.
	capacityFloorTargets = 6
)

// loadLevels returns the measured loads.
func loadLevels() []loadLevel {
	var all []loadLevel
	for _, slots := range []int{3, 7} {
		all = append(all,
			loadLevel{slots: slots, rate: lowRate, name: fmt.Sprintf("%d/low", slots)},
			loadLevel{slots: slots, rate: highRate * float64(slots), name: fmt.Sprintf("%d/high", slots)})
	}
	return all
}

const (
	// reportInterval is the interval of the regular collection of reports.
	reportInterval = time.Second
	// reportDelay is the time from a regular collection to the delivery of the reports.
	reportDelay = 100 * time.Millisecond
	// reportRequestDelay is the one-way delay between regions of a report request and of its response.
	reportRequestDelay = 20 * time.Millisecond
	// inFlightCheckInterval is the interval at which detectors observe the requests in flight.
	inFlightCheckInterval = 100 * time.Millisecond
	// healthProbeInterval is the interval between health probes.
	healthProbeInterval = time.Second
	// stalledAfter is the time after which a request without a first byte is counted as evidence against its target.
	stalledAfter = 10 * pageFirstByte
	// firstByteTimeout is the timeout of both routes for the first byte.
	firstByteTimeout = 5 * time.Second
)
