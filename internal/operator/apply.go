package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Apply implements operatorv1.OperatorHandler. The change of each service and of each account is atomic and independent of the others.
func (s *Server) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	message := request.Msg
	declarations, err := statement.ParseDeclarations(message.GetDeclarations())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := &operatorv1.ApplyResponse{Changes: s.applyAll(ctx, declarations, message.GetDryRun(), message.GetForce())}
	answer.Revision = newestRevision(answer.Changes)
	if !message.GetDryRun() {
		s.awaitActive(ctx, answer.Revision, waitOf(message.GetWaitMs()))
	}
	snapshot := s.fleet.Snapshot()
	answer.NodesBehind = nodesBehind(snapshot, answer.Revision)
	answer.NodesInForce = int32(len(snapshot.Nodes) - len(answer.NodesBehind))
	s.emitApplyResult(answer)
	return connect.NewResponse(answer), nil
}

// applyAll returns the results in the order of the declarations. Accounts are changed first, so that they are in force before a route
// requires their keys.
func (s *Server) applyAll(ctx context.Context, declarations []statement.Declaration, dryRun, force bool) []*operatorv1.ServiceChange {
	accounts := newAccountApply(s, declarations, dryRun, force).run(ctx)
	results := make([]*operatorv1.ServiceChange, 0, len(declarations))
	for i := range declarations {
		if declarations[i].Account != nil {
			results = append(results, accounts[0])
			accounts = accounts[1:]
			continue
		}
		change := &change{server: s, wanted: &declarations[i], dryRun: dryRun, force: force}
		results = append(results, change.apply(ctx))
	}
	return results
}

// newestRevision returns the highest revision of the changes that are neither in conflict nor rejected.
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

// awaitActive waits until the revision is active on all responsive nodes, until the time is over, or until the context
// is done.
func (s *Server) awaitActive(ctx context.Context, revision int64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for !activeOnResponsiveNodes(s.fleet.Snapshot(), revision) && time.Now().Before(deadline) {
		if s.pause(ctx) != nil {
			return
		}
	}
}

// activeOnResponsiveNodes reports whether the revision is active on all nodes but the unresponsive ones. Waiting for
// unresponsive nodes could take hours, so they are only listed as behind.
func activeOnResponsiveNodes(snapshot *Snapshot, revision int64) bool {
	for _, node := range snapshot.Nodes {
		if !node.Unresponsive && node.Record.ConfigRevision < revision {
			return false
		}
	}
	return true
}
