package admission

import (
	"math"
	"time"
)

const (
	// runSpread is the spread of run times around the usual one, in natural logarithms.
	runSpread = 0.45
	// silenceLimit is the probability of the present silence at a sound target below which the target is doubtful. While
	// some targets of a service hang, one that has not answered for so long is more likely to hang than not.
	silenceLimit = 0.0
)

// stillRunning returns the probability that a run at a sound target has not ended at the given age.
func stillRunning(age, expected time.Duration) float64 {
	if expected <= 0 || age <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(float64(age)/float64(expected))/(runSpread*math.Sqrt2))
}

// silence returns the probability that none of the runs at the target has ended if the target is sound.
func (p *Point) silence(t *target) float64 {
	probability := 1.0
	for _, w := range t.running {
		probability *= stillRunning(p.active()-w.started, p.expected(w))
	}
	return probability
}
