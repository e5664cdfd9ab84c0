package main

import "time"

// second is what happened to the requests that arrived within one second.
type second struct {
	arrived  int
	answered int
}

// tally counts per second of the run.
type tally struct {
	seconds    [512]second
	messages   int
	dispatches int
}

func index(at time.Duration) int { return int(at / time.Second) }

func isMeasured(at time.Duration) bool { return at >= warmUp && at < warmUp+measuredTime }

func (t *tally) arrived(at time.Duration) { t.seconds[index(at)].arrived++ }

// answered counts an answer for the second in which its request arrived.
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

// measured returns the arrivals and answers of the measured time.
func (t *tally) measured() (arrived, answered int) {
	for i := index(warmUp); i < index(warmUp+measuredTime); i++ {
		arrived += t.seconds[i].arrived
		answered += t.seconds[i].answered
	}
	return arrived, answered
}

const (
	// recoveredShare is the share of requests that are answered once the service has recovered.
	recoveredShare = 0.95
	// recoveredFor is the time for which it has to stay so.
	recoveredFor = 5 * time.Second
)

// recovery returns the time from the end of the brown-out until the service has recovered, and false if it has not in
// the watched time.
func (t *tally) recovery(watched time.Duration) (time.Duration, bool) {
	end := index(warmUp + brownOutTime)
	for from := end; from < end+index(watched-recoveredFor); from++ {
		if t.isWell(from, from+index(recoveredFor)) {
			return time.Duration(from-end) * time.Second, true
		}
	}
	return 0, false
}

func (t *tally) isWell(from, to int) bool {
	for _, s := range t.seconds[from:to] {
		if float64(s.answered) < recoveredShare*float64(s.arrived) {
			return false
		}
	}
	return true
}
