package node

import (
	"testing"
	"time"
)

// Guards against a nested request that runs without a key long after the run that could have sent it, and against one that is
// refused while a target still runs its parent.
func TestParentRunsEndWithTheirRun(t *testing.T) {
	p := newParentRuns()
	p.begin("twice")
	p.begin("twice")
	p.end(1*time.Second, "twice", 0)
	if !p.mayRun(1*time.Second, "twice") {
		t.Error("one of two attempts has ended: the other one runs")
	}
	p.end(2*time.Second, "twice", 0)
	if p.mayRun(2*time.Second, "twice") {
		t.Error("both attempts have ended")
	}
	p.begin("cut")
	p.end(3*time.Second, "cut", 9*time.Second)
	if !p.mayRun(8*time.Second, "cut") || p.mayRun(9*time.Second, "cut") {
		t.Error("an attempt without a complete response may go on until its deadline")
	}
	p.begin("")
	if p.mayRun(0, "") {
		t.Error("requests without an ID have no nested requests")
	}
	p.begin("last")
	p.end(10*time.Second, "last", 0)
	if len(p.byRequest) != 0 {
		t.Errorf("%d requests kept after their end", len(p.byRequest))
	}
}
