package fleettest

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// readyTargets asks for the targets that take work, as one node sees the fleet.
const readyTargets = "show targets where phase = ready columns target"

// waitKnown waits until the node knows every upstream as ready.
func (f *Fleet) waitKnown(ctx context.Context, node *Node) error {
	return Poll(ctx, node.ID+" to know all upstreams", func(ctx context.Context) error {
		answer, err := node.Execute(ctx, readyTargets)
		if err != nil {
			return err
		}
		if known := len(answer.Rows); known != len(f.Upstreams) {
			return errors.Errorf("%s knows %d of %d upstreams", node.ID, known, len(f.Upstreams))
		}
		return nil
	})
}

func (n *Node) operator() operatorv1.OperatorClient {
	return operatorv1.NewOperatorClient(http.DefaultClient, "http://"+n.Operators)
}

// Execute runs one statement of the operators' language at the node.
func (n *Node) Execute(ctx context.Context, statement string) (*operatorv1.ExecuteResponse, error) {
	response, err := n.operator().Execute(ctx, connect.NewRequest(&operatorv1.ExecuteRequest{Statement: statement}))
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", n.ID, statement)
	}
	return response.Msg, nil
}

// Export returns the declarations in force at the node, in the text form of the language.
func (n *Node) Export(ctx context.Context) (string, error) {
	response, err := n.operator().Export(ctx, connect.NewRequest(&operatorv1.ExportRequest{}))
	if err != nil {
		return "", errors.Wrapf(err, "%s: export", n.ID)
	}
	return response.Msg.Declarations, nil
}
