package loadexchange

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// manyFree is the number of free slots from which more make no difference to who is asked.
const manyFree = 2

// waitSteps are the expected waits between which a difference is worth a datagram.
var waitSteps = []time.Duration{
	50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2400 * time.Millisecond, 5 * time.Second,
}

// class is what of a load decides whether the target is asked.
type class struct {
	free  int
	wait  int
	doubt int
}

func classOf(load model.TargetLoad) class {
	c := class{free: min(load.Free, manyFree), doubt: load.Doubt}
	for c.wait < len(waitSteps) && load.Wait > waitSteps[c.wait] {
		c.wait++
	}
	return c
}
