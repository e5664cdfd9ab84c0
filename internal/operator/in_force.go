package operator

import (
	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/events"
)

// reportInForce writes the event of an apply whose changes have reached all nodes, or not.
func (s *Server) reportInForce(answer *operatorv1.ApplyResponse) {
	revision := events.RevisionField(answer.Revision)
	switch {
	case answer.Revision == 0:
	case len(answer.NodesBehind) > 0:
		s.emit(events.ApplyBehind, revision, events.CountField(len(answer.NodesBehind)))
	default:
		s.emit(events.ApplyInForce, revision, events.CountField(int(answer.NodesInForce)))
	}
}
