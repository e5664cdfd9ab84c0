package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against a kind whose rows do not match the columns of the command language, and against a response without
// freshness.
func TestRowsMatchColumnsOfEveryKind(t *testing.T) {
	fleet, server := declaredFleet(t)
	fleet.Suspect("n2")
	mustExecute(t, server, "forbid request f1")
	mustExecute(t, server, "declare account hobart { rate 5; }")
	for _, kind := range statement.Kinds() {
		var names []string
		for _, column := range statement.Columns(kind) {
			names = append(names, column.Name)
		}
		answer := mustExecute(t, server, "show "+string(kind)+" columns "+strings.Join(names, ", "))
		if len(answer.Rows) == 0 || len(answer.Rows[0].Cells) != len(names) {
			t.Errorf("%s: %d rows, want rows of %d cells", kind, len(answer.Rows), len(names))
		}
		if answer.Freshness.Node != "n1" || answer.Freshness.OldestMs != 60 {
			t.Errorf("%s: freshness %v", kind, answer.Freshness)
		}
	}
}

// Guards against a response that looks complete although nodes are unresponsive or the configuration is incomplete.
func TestPartialResponsesCarryWarnings(t *testing.T) {
	fleet, server := declaredFleet(t)
	fleet.SetUnresponsive("n3")
	fleet.SetIncomplete()
	for _, text := range []string{"show targets", "explain request GET /proofs", "forbid request f1"} {
		answer := mustExecute(t, server, text)
		if len(answer.Warnings) != 2 || len(answer.Freshness.SilentNodes) != 1 {
			t.Errorf("%s: warnings %q, freshness %v", text, answer.Warnings, answer.Freshness)
		}
		for _, warning := range answer.Warnings {
			if !strings.HasPrefix(warning, operator.PartialPrefix) {
				t.Errorf("%s: warning %q", text, warning)
			}
		}
	}
	answer := mustExecute(t, server, `show targets where node = n3 columns state`)
	if answer.Rows[0].Cells[0] != "unknown" {
		t.Errorf("state of a target of an unresponsive node: %v", answer.Rows)
	}
}

// Guards against calls that are admitted without the token, and against requests without a size limit.
func TestAccess(t *testing.T) {
	server := operator.NewServer(fakefleet.New(), operator.Options{Token: "0123456789abcdef", MaxRequestBytes: 1024})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	listener := httptest.NewServer(mux)
	defer listener.Close()
	client := operatorv1.NewOperatorClient(listener.Client(), listener.URL)
	call := func(authorization, text string) error {
		request := connect.NewRequest(&operatorv1.ExecuteRequest{Statement: text})
		request.Header().Set("Authorization", authorization)
		_, err := client.Execute(context.Background(), request)
		return err
	}
	for _, wrong := range []string{"", "Bearer ", "0123456789abcdef", "Bearer 0123456789abcdeg", "Bearer 0123456789abcdef0"} {
		expectCode(t, call(wrong, "show nodes"), connect.CodeUnauthenticated)
	}
	if err := call("Bearer 0123456789abcdef", "show nodes"); err != nil {
		t.Errorf("with the token: %v", err)
	}
	expectCode(t, call("Bearer 0123456789abcdef", strings.Repeat("x", 2048)), connect.CodeResourceExhausted)
	expectCode(t, call("Bearer 0123456789abcdef", "show nods"), connect.CodeInvalidArgument, "column 6", `"nodes"`)
}
