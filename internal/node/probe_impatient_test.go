package node

import (
	"context"
	"testing"
	"time"
)

// Guards against a quarantine that never ends because each caller closes its connection before its node's turn to probe.
func TestImpatientCallersGetAProbe(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c, other := f.start(), f.start()
		f.quarantineAtTwoTargets(c, other)
		const tries, patience = 10, 300 * time.Millisecond
		for range tries {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), time.Minute)
			timer := time.AfterFunc(patience, cancel)
			refusal := c.awaitAllowed(ctx, crashingRequest("t9"))
			timer.Stop()
			cancel()
			if refusal == nil {
				return
			}
			f.pass(2 * time.Second)
		}
		t.Errorf("no probe in %d requests of %v", tries, patience)
	})
}
