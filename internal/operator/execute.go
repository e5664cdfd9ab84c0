package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Execute implements operatorv1.OperatorHandler. It parses and runs one statement.
func (s *Server) Execute(ctx context.Context, request *connect.Request[operatorv1.ExecuteRequest]) (*connect.Response[operatorv1.ExecuteResponse], error) {
	parsed, err := statement.Parse(request.Msg.GetStatement())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer, err := s.run(ctx, parsed)
	if err != nil {
		return nil, asConnectError(err)
	}
	return connect.NewResponse(answer), nil
}

func (s *Server) run(ctx context.Context, parsed statement.Statement) (*operatorv1.ExecuteResponse, error) {
	switch query := parsed.(type) {
	case *statement.Show:
		return s.show(query)
	case *statement.Explain:
		return s.explain(query), nil
	}
	message, err := s.runCommand(ctx, parsed)
	if err != nil {
		return nil, err
	}
	s.emit(events.OperatorCommand, events.OperationField(parsed.Verb()))
	return s.commandResponse(message), nil
}

// runCommand runs a statement that changes state and returns a summary of its effect.
func (s *Server) runCommand(ctx context.Context, parsed statement.Statement) (string, error) {
	switch command := parsed.(type) {
	case *statement.Declare:
		return s.declare(ctx, command)
	case *statement.Drain:
		return s.drain(ctx, command)
	case *statement.Restore:
		return s.restore(ctx, command)
	case *statement.Remove:
		return s.remove(ctx, command)
	case *statement.Forbid:
		return s.forbid(ctx, command)
	case *statement.Release:
		return s.release(ctx, command)
	case *statement.Withdraw:
		return s.withdraw(ctx, command)
	case *statement.AddKey:
		return s.addKey(ctx, command)
	case *statement.WithdrawKey:
		return s.withdrawKey(ctx, command)
	case *statement.RemoveAccount:
		return s.removeAccount(ctx, command)
	}
	return "", errors.Errorf("the statement %q has no implementation", parsed.Verb())
}

// commandResponse returns the response to a command, with the freshness of the node's data.
func (s *Server) commandResponse(message string) *operatorv1.ExecuteResponse {
	snapshot := s.fleet.Snapshot()
	return &operatorv1.ExecuteResponse{Message: message, Freshness: freshnessOf(snapshot), Warnings: partialWarnings(snapshot)}
}
