package detect

// Class is what one outcome, or one request in flight, says about its target.
type Class uint8

const (
	// Prompt means answered, with the first byte within slowFactor of the usual time.
	Prompt Class = iota
	// Slow means that the first byte took more than slowFactor times the usual time.
	Slow
	// Stalled means that the first byte took more than stalledFactor times the usual time.
	Stalled
	// Silent means that the first byte took more than silentFactor times the usual time, or has not come in that time.
	Silent
	// Failed means that the request failed in a way that counts against the target.
	Failed

	classes = 5
)

var classNames = [classes]string{"prompt", "slow", "stalled", "silent", "failed"}

// String returns the name of the class.
func (c Class) String() string {
	if int(c) >= classes {
		return "invalid"
	}
	return classNames[c]
}

// Counts holds a number of outcomes for each class.
type Counts [classes]float64

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
