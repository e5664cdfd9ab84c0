package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Apply implements the API. Each service is changed as a whole or not at all, and independently of the others.
func (s *Server) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	message := request.Msg
	declarations, err := statement.ParseDeclarations(message.GetDeclarations())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := new(operatorv1.ApplyResponse)
	for i := range declarations {
		change := &change{server: s, wanted: &declarations[i], dryRun: message.GetDryRun(), force: message.GetForce()}
		answer.Changes = append(answer.Changes, change.apply(ctx))
	}
	answer.Revision = newestRevision(answer.Changes)
	if !message.GetDryRun() {
		s.awaitInForce(ctx, answer.Revision, waitOf(message.GetWaitMs()))
	}
	snapshot := s.fleet.Snapshot()
	answer.NodesBehind = nodesBehind(snapshot, answer.Revision)
	answer.NodesInForce = int32(len(snapshot.Nodes) - len(answer.NodesBehind))
	s.reportInForce(answer)
	return connect.NewResponse(answer), nil
}

// newestRevision returns the greatest revision of the changes that are as the operator wants them.
func newestRevision(changes []*operatorv1.ServiceChange) int64 {
	var newest int64
	for _, change := range changes {
		if change.Outcome != OutcomeConflict && change.Outcome != OutcomeRejected {
			newest = max(newest, change.Revision)
		}
	}
	return newest
}

func waitOf(ms int64) time.Duration {
	return min(time.Duration(min(max(ms, 0), MaxWait.Milliseconds()))*time.Millisecond, MaxWait)
}

// awaitInForce returns when all nodes that are not silent have the revision in force, or the time is over.
func (s *Server) awaitInForce(ctx context.Context, revision int64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for !inForce(s.fleet.Snapshot(), revision) && time.Now().Before(deadline) {
		if s.pause(ctx) != nil {
			return
		}
	}
}

// inForce leaves silent nodes out, because waiting for them could last for hours. They are listed as behind.
func inForce(snapshot *Snapshot, revision int64) bool {
	for _, node := range snapshot.Nodes {
		if !node.Silent && node.Record.ConfigRevision < revision {
			return false
		}
	}
	return true
}
