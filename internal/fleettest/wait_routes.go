package fleettest

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// waitNodeRoutes waits until the node routes requests to every service of the layout.
func (f *Fleet) waitNodeRoutes(ctx context.Context, client *Client, node *Node) error {
	for _, service := range f.options.Layout.Services {
		err := Poll(ctx, node.ID+" to route to "+service.Name, func(ctx context.Context) error {
			return client.checkRoute(ctx, node.Callers, service.Path)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkRoute sends a read. If the route does not accept reads, it sends an operation without a key, which is refused
// and does not run.
func (c *Client) checkRoute(ctx context.Context, node, path string) error {
	answer := c.Fetch(ctx, node, Request{Path: path, Token: "probe"})
	if answer.Complete {
		return nil
	}
	if answer.Status != http.StatusNotFound {
		return errors.Errorf("GET %s: %s %v", path, answer.Outcome(), answer.Err)
	}
	answer = c.RunOperation(ctx, node, Request{Path: path, Token: "probe"})
	if answer.Reason != "key_missing" {
		return errors.Errorf("POST %s: %s %v", path, answer.Outcome(), answer.Err)
	}
	return nil
}
