package loadexchange

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxCountedFree is the number of free slots from which more make no difference to who is asked.
const maxCountedFree = 2

// waitThresholds are the expected waits between which a difference is worth a datagram.
var waitThresholds = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2400 * time.Millisecond, 5 * time.Second,
}

// loadClass is what of a load decides whether the target is asked.
type loadClass struct {
	free              int
	wait              int
	requiredSuccesses int
}

func classify(load model.TargetLoad) loadClass {
	c := loadClass{free: min(load.Free, maxCountedFree), requiredSuccesses: load.RequiredSuccesses}
	for c.wait < len(waitThresholds) && load.Wait > waitThresholds[c.wait] {
		c.wait++
	}
	return c
}
