package node

import (
	"testing"
	"time"
)

// Guards against a request that is refused on all nodes because it ran at several targets of a failure domain that was lost.
func TestLossOfDomainDoesNotRefusePopularRequest(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		lost, other := []*crashTracker{f.start(), f.start(), f.start()}, f.start()
		targets := []string{"t1", "t2", "t3"}
		for i, c := range lost {
			f.run(c, targets[i], true)
			f.beginRun(c, targets[i])
		}
		for i, c := range lost {
			c.recordLoss(crashingRequest(targets[i]))
		}
		f.pass(2 * time.Second)
		for i, c := range append(lost, other) {
			if !allows(c) {
				t.Errorf("node %d refuses the request", i)
			}
		}
		f.run(other, "t9", true)
		f.pass(2 * time.Second)
		for i, c := range f.trackers {
			if len(c.entries()[0].Losses) != 0 {
				t.Errorf("node %d keeps losses after a success: %+v", i, c.entries())
			}
		}
	})
}

// Guards against several nodes that probe a quarantined request at the same time, and against the result staying at one node.
func TestOneNodeProbesAndAllLearnTheResult(t *testing.T) {
	for _, sound := range []bool{true, false} {
		runCrashFleet(t, func(f *crashFleet) {
			c, other, third := f.start(), f.start(), f.start()
			f.beginRun(c, "t1")
			f.beginRun(other, "t2")
			c.recordLoss(crashingRequest("t1"))
			other.recordLoss(crashingRequest("t2"))
			f.pass(2 * time.Second)
			for i, c := range f.trackers {
				if allows(c) {
					t.Fatalf("node %d allows the request", i)
				}
			}
			f.pass(20 * time.Second)
			var probes int
			for _, c := range []*crashTracker{third, other, c} {
				head := crashingRequest("t9")
				if c.awaitAllowed(f.t.Context(), head) != nil {
					continue
				}
				probes++
				if err := c.begin(head); err != nil {
					t.Fatal(err)
				}
				if sound {
					c.finish(head, true)
				} else {
					c.recordLoss(head)
				}
				if !sound {
					continue
				}
				break
			}
			if probes != 1 {
				t.Errorf("sound %v: %d probes", sound, probes)
			}
			f.pass(2 * time.Second)
			for i, c := range f.trackers {
				if allows(c) != sound {
					t.Errorf("sound %v: node %d allows the request: %v", sound, i, allows(c))
				}
			}
		})
	}
}

// run runs the request at the target to its end.
func (f *crashFleet) run(c *crashTracker, target string, success bool) {
	f.beginRun(c, target)
	c.finish(crashingRequest(target), success)
}
