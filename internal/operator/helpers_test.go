package operator_test

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
	"github.com/sardinereach/sardinereach/internal/statement"
)

const proofroom = `declare service proofroom { floor 14 slots; route GET "/proofs" { class idempotent; } }`

func newServer(fleet operator.Fleet) *operator.Server {
	return operator.NewServer(fleet, operator.Options{Node: "n1", Incarnation: 7})
}

func apply(t *testing.T, server *operator.Server, request *operatorv1.ApplyRequest) *operatorv1.ApplyResponse {
	t.Helper()
	answer, err := server.Apply(context.Background(), connect.NewRequest(request))
	if err != nil {
		t.Fatal(err)
	}
	return answer.Msg
}

// applyOne applies a text with one declaration and returns its change.
func applyOne(t *testing.T, server *operator.Server, text string) *operatorv1.ServiceChange {
	t.Helper()
	return apply(t, server, &operatorv1.ApplyRequest{Declarations: text}).GetChanges()[0]
}

func execute(server *operator.Server, text string) (*operatorv1.ExecuteResponse, error) {
	answer, err := server.Execute(context.Background(), connect.NewRequest(&operatorv1.ExecuteRequest{Statement: text}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func mustExecute(t *testing.T, server *operator.Server, text string) *operatorv1.ExecuteResponse {
	t.Helper()
	answer, err := execute(server, text)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// expectCode checks that the error has the code and that its text contains all parts.
func expectCode(t *testing.T, err error, code connect.Code, parts ...string) {
	t.Helper()
	if connect.CodeOf(err) != code {
		t.Fatalf("error %v, want code %v", err, code)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %q does not contain %q", err, part)
		}
	}
}

func document(t *testing.T, text string) declaration.Document {
	t.Helper()
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		t.Fatal(err)
	}
	return declaration.Document{Service: declarations[0].Service, ChangeID: "other.1.1"}
}

func declaredFleet(t *testing.T) (*fakefleet.Fleet, *operator.Server) {
	t.Helper()
	fleet := fakefleet.New()
	fleet.Put(document(t, proofroom))
	return fleet, newServer(fleet)
}
