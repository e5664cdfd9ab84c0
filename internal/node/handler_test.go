package node

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a panic in the handling of one request from another node that terminates the daemon, and against
// reporting not-run for such a request.
func TestPanicOfOnePeerRequestIsContained(t *testing.T) {
	log := new(eventNameSink)
	// The handler panics because the node has no admitter.
	h := &handler{node: &Node{log: events.New(log, time.Now)}}
	trailer := h.Forward(context.Background(), &peerv1.ForwardHead{}, nil, new(recordingSink))
	if verdict.Verdict(trailer.Verdict) != verdict.MayHaveRun {
		t.Errorf("verdict %d, want may-have-run", trailer.Verdict)
	}
	if len(log.names) != 1 || log.names[0] != "panic_recovered" {
		t.Errorf("events %v", log.names)
	}
}
