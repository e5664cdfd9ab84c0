package sessions

import (
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// changeStore implements "store down" and "store up".
func changeStore(ts *testscript.TestScript, _ bool, arguments []string) {
	s := testFleetOf(ts)
	ts.Check(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: arguments[0] == "down"}))
}

// changeNode implements "node ACTION NODE...", with the actions pause, resume and replace.
func changeNode(ts *testscript.TestScript, _ bool, arguments []string) {
	s := testFleetOf(ts)
	for _, id := range arguments[1:] {
		node := s.Node(id)
		switch arguments[0] {
		case "pause":
			ts.Check(node.Pause())
		case "resume":
			ts.Check(node.Resume())
		case "replace":
			s.replace(ts, id)
		default:
			ts.Fatalf("unknown action %q", arguments[0])
		}
	}
}

// replace simulates the replacement of a node's VM: it stops the daemon gracefully, kills its upstream and starts
// both again.
func (s *testFleet) replace(ts *testscript.TestScript, id string) {
	node := s.Node(id)
	ts.Check(node.Terminate())
	code, err := node.Wait(s.ctx)
	ts.Check(err)
	if code != 0 {
		ts.Fatalf("%s exited with %d", id, code)
	}
	for _, upstream := range s.Upstreams {
		if upstream.Node == node {
			upstream.Kill()
			ts.Check(node.Start())
			ts.Check(upstream.Start())
			ts.Check(upstream.WaitAccepted(s.ctx, "ready"))
		}
	}
	ts.Check(node.WaitReady(s.ctx))
}

// failTarget implements "fail TARGET": requests to the target fail while its health probes succeed.
func failTarget(ts *testscript.TestScript, _ bool, arguments []string) {
	s := testFleetOf(ts)
	for _, upstream := range s.Upstreams {
		if strings.HasSuffix(upstream.Node.ID, arguments[0]) {
			ts.Check(upstream.SetFaults(s.ctx, fakeupstream.Faults{FailWork: true}))
		}
	}
}
