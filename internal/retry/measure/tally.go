package main

import "time"

// secondCounts counts the requests that arrived within one second, and those of them that received a response.
type secondCounts struct {
	arrived  int
	answered int
}

// tally counts the requests per second of simulated time, and the messages and dispatches of the measured time.
type tally struct {
	seconds    [512]secondCounts
	messages   int
	dispatches int
}

func index(at time.Duration) int { return int(at / time.Second) }

func isMeasured(at time.Duration) bool { return at >= warmUp && at < warmUp+measuredTime }

func (t *tally) arrived(at time.Duration) { t.seconds[index(at)].arrived++ }

// answered counts a response in the second in which its request arrived.
func (t *tally) answered(arrived time.Duration) { t.seconds[index(arrived)].answered++ }

func (t *tally) message(at time.Duration) {
	if isMeasured(at) {
		t.messages++
	}
}

func (t *tally) dispatched(at time.Duration) {
	if isMeasured(at) {
		t.dispatches++
	}
}

// measured returns the numbers of requests that arrived in the measured time and of those that received a response.
func (t *tally) measured() (arrived, answered int) {
	for i := index(warmUp); i < index(warmUp+measuredTime); i++ {
		arrived += t.seconds[i].arrived
		answered += t.seconds[i].answered
	}
	return arrived, answered
}

const (
	// recoveredShare is the minimum share of requests to which a recovered service responds.
	recoveredShare = 0.95
	// recoveryDuration is the time for which the service must respond to this share to count as recovered.
	recoveryDuration = 5 * time.Second
)

// recovery returns the time from the end of the brown-out until the service has recovered. It returns false if the service
// does not recover within the given window.
func (t *tally) recovery(recoveryWindow time.Duration) (time.Duration, bool) {
	end := index(warmUp + brownOutTime)
	for from := end; from < end+index(recoveryWindow-recoveryDuration); from++ {
		if t.isRecovered(from, from+index(recoveryDuration)) {
			return time.Duration(from-end) * time.Second, true
		}
	}
	return 0, false
}

func (t *tally) isRecovered(from, to int) bool {
	for _, s := range t.seconds[from:to] {
		if float64(s.answered) < recoveredShare*float64(s.arrived) {
			return false
		}
	}
	return true
}
