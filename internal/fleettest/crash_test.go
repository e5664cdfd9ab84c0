package fleettest

import (
	"testing"
)

// maxCrashes is the number of upstreams that one request may crash before it is quarantined (design 6).
const maxCrashes = 2

// Guards against a request that crashes each upstream that runs it, and whose caller resends it through other nodes.
// Promise: it takes down at most two upstreams, and other requests go on.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := start(t, layoutOf(4, 1))
	poison := Request{Path: readPath, Token: "poison", Size: 13, Poison: true}
	var answers []Answer
	for i := range 8 {
		node := s.Nodes[i%len(s.Nodes)]
		answers = append(answers, s.caller.Fetch(s.ctx, node.Callers, poison))
	}
	if answers[0].Verdict == NotRun {
		t.Errorf("the request that crashed its upstream was answered %s", answers[0].Outcome())
	}
	crashed := 0
	for _, upstream := range s.Targets("reads") {
		if !upstream.Running() {
			crashed++
		}
	}
	if crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; answers %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last answer %s; want quarantined", last.Outcome())
	}
	s.awaitWhole("after", maxReadBytes)
}

// Guards against the same with an operation whose caller gives it a new key each time.
func TestCrashingOperationIsQuarantined(t *testing.T) {
	s := start(t, layoutOf(1, 4))
	var answers []Answer
	for i := range 8 {
		request := Request{Path: operationPath, Token: "poison", Key: string(rune('a' + i)), Poison: true}
		answers = append(answers, s.caller.Approve(s.ctx, s.Nodes[i%len(s.Nodes)].Callers, request))
	}
	if runs := s.runsOf("poison"); runs == 0 || runs > maxCrashes {
		t.Errorf("the operation ran %d times; want 1 to %d; answers %s", runs, maxCrashes, outcomes(answers))
	}
}
