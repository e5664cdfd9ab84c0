package loadexchange

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxCountedFree is the number of free slots above which more free slots do not affect the target order.
const maxCountedFree = 2

// waitThresholds are the expected waits at which a change is sent in a datagram.
var waitThresholds = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2400 * time.Millisecond, 5 * time.Second,
}

// loadClass is a target load reduced to the differences that affect the target order.
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
