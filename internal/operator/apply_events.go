package operator

import (
	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/events"
)

// emitApplyResult writes an event that reports whether the changes of an apply are active on all nodes.
func (s *Server) emitApplyResult(answer *operatorv1.ApplyResponse) {
	revision := events.RevisionField(answer.Revision)
	switch {
	case answer.Revision == 0:
	case len(answer.NodesBehind) > 0:
		s.emit(events.ApplyBehind, revision, events.CountField(len(answer.NodesBehind)))
	default:
		s.emit(events.ApplyInForce, revision, events.CountField(int(answer.NodesInForce)))
	}
}
