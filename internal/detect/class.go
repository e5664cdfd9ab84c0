package detect

// Class classifies the result and latency of a completed request, or of a request in flight.
type Class uint8

const (
	// Prompt means that the first byte took at most slowFactor times the baseline latency.
	Prompt Class = iota
	// Slow means that the first byte took more than slowFactor times the baseline latency.
	Slow
	// Stalled means that the first byte took more than stalledFactor times the baseline latency.
	Stalled
	// Unresponsive means that the first byte took more than unresponsiveFactor times the baseline latency, or was not
	// received in that time.
	Unresponsive
	// Failed means that the request failed in a way that is attributed to the target.
	Failed

	classCount = 5
)

var classNames = [classCount]string{"prompt", "slow", "stalled", "silent", "failed"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) >= classCount {
		return "invalid"
	}
	return classNames[c]
}

// Counts holds the number of outcomes of each class. The numbers may be weighted.
type Counts [classCount]float64

// Total returns the number of outcomes.
func (c Counts) Total() float64 {
	total := 0.0
	for _, n := range c {
		total += n
	}
	return total
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

// Times returns the counts multiplied by a factor.
func (c Counts) Times(factor float64) Counts {
	for i := range c {
		c[i] *= factor
	}
	return c
}
