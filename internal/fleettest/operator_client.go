package fleettest

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// showReadyTargets is the statement that lists the ready targets as one node sees them.
const showReadyTargets = "show targets where phase = ready columns target"

// waitTargetsReady waits until the node sees every upstream as ready.
func (f *Fleet) waitTargetsReady(ctx context.Context, node *Node) error {
	return Poll(ctx, node.ID+" to see all upstreams as ready", func(ctx context.Context) error {
		response, err := node.Execute(ctx, showReadyTargets)
		if err != nil {
			return err
		}
		if ready := len(response.Rows); ready != len(f.Upstreams) {
			return errors.Errorf("%s sees %d of %d upstreams as ready", node.ID, ready, len(f.Upstreams))
		}
		return nil
	})
}

func (n *Node) operator() operatorv1.OperatorClient {
	return operatorv1.NewOperatorClient(http.DefaultClient, "http://"+n.Operators)
}

// Execute runs one statement of the command language at the node.
func (n *Node) Execute(ctx context.Context, statement string) (*operatorv1.ExecuteResponse, error) {
	response, err := n.operator().Execute(ctx, connect.NewRequest(&operatorv1.ExecuteRequest{Statement: statement}))
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", n.ID, statement)
	}
	return response.Msg, nil
}

// Export returns the text of the active declarations at the node.
func (n *Node) Export(ctx context.Context) (string, error) {
	response, err := n.operator().Export(ctx, connect.NewRequest(&operatorv1.ExportRequest{}))
	if err != nil {
		return "", errors.Wrapf(err, "%s: export", n.ID)
	}
	return response.Msg.Declarations, nil
}
