package fleettest

import (
	"testing"
)

// maxCrashes is the maximum number of upstreams that a request may crash before it is quarantined (design 6).
const maxCrashes = 2

// Guards against a request that crashes every upstream it runs on, when its caller retries it through other nodes. At
// most two upstreams may crash, and other requests must still succeed.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := start(t, layoutOf(4, 1))
	poison := Request{Path: readPath, Token: "poison", Size: 13, Poison: true}
	var answers []Answer
	for i := range 8 {
		node := s.Nodes[i%len(s.Nodes)]
		answers = append(answers, s.caller.Fetch(s.ctx, node.Callers, poison))
	}
	if answers[0].Verdict == NotRun {
		t.Errorf("the request that crashed its upstream has outcome %s", answers[0].Outcome())
	}
	crashed := 0
	for _, upstream := range s.Targets("reads") {
		if !upstream.Running() {
			crashed++
		}
	}
	if crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; outcomes %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last outcome %s; want quarantined", last.Outcome())
	}
	s.awaitCompleteReads("after", maxReadBytes)
}

// Same as TestCrashingRequestIsQuarantined, for an operation that the caller sends with a new key each time.
func TestCrashingOperationIsQuarantined(t *testing.T) {
	s := start(t, layoutOf(1, 4))
	var answers []Answer
	for i := range 8 {
		request := Request{Path: operationPath, Token: "poison", Key: string(rune('a' + i)), Poison: true}
		answers = append(answers, s.caller.RunOperation(s.ctx, s.Nodes[i%len(s.Nodes)].Callers, request))
	}
	if runs := s.runCount("poison"); runs == 0 || runs > maxCrashes {
		t.Errorf("the operation ran %d times; want 1 to %d; outcomes %s", runs, maxCrashes, outcomes(answers))
	}
}
