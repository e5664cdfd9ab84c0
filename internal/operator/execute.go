package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Execute implements the API. It runs one statement.
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
	switch one := parsed.(type) {
	case *statement.Show:
		return s.show(one)
	case *statement.Explain:
		return s.explain(one), nil
	}
	message, err := s.command(ctx, parsed)
	if err != nil {
		return nil, err
	}
	s.emit(events.OperatorCommand, events.OperationField(parsed.Verb()))
	return s.commandAnswer(message), nil
}

// command carries out a statement that changes something and returns the summary of its effect.
func (s *Server) command(ctx context.Context, parsed statement.Statement) (string, error) {
	switch one := parsed.(type) {
	case *statement.Declare:
		return s.declare(ctx, one)
	case *statement.Drain:
		return s.drain(ctx, one)
	case *statement.Restore:
		return s.restore(ctx, one)
	case *statement.Remove:
		return s.remove(ctx, one)
	case *statement.Forbid:
		return s.forbid(ctx, one)
	case *statement.Release:
		return s.release(ctx, one)
	case *statement.Withdraw:
		return s.withdraw(ctx, one)
	}
	return "", errors.Errorf("the statement %q has no implementation", parsed.Verb())
}

// commandAnswer returns the answer to a command.
func (s *Server) commandAnswer(message string) *operatorv1.ExecuteResponse {
	snapshot := s.fleet.Snapshot()
	return &operatorv1.ExecuteResponse{Message: message, Freshness: freshnessOf(snapshot), Warnings: partialWarnings(snapshot)}
}
