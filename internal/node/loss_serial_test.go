package node

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/quarantine"
)

// Guards against one loss that counts as two because a node with several targets names it by the serial of another one.
func TestLossOfOneOfSeveralTargetsKeepsItsSerial(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		f.beginRun(c, "t1")
		first := c.recordLoss(crashingRequest("t1"))
		f.pass(quarantine.LossTTL)
		f.beginRun(c, "t2")
		c.recordLoss(crashingRequest("t2"))
		if again := c.recordLoss(crashingRequest("t1")); again != first {
			t.Errorf("serial %d of a loss that was %d", again, first)
		}
	})
}

// beginRun begins a run of the crashing request.
func (f *crashFleet) beginRun(c *crashTracker, target string) {
	if err := c.begin(crashingRequest(target)); err != nil {
		f.t.Fatal(err)
	}
}
