package fleettest

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// waitRoutesOf waits until the node knows every route.
func (f *Fleet) waitRoutesOf(ctx context.Context, client *Client, node *Node) error {
	for _, service := range f.options.Layout.Services {
		err := Poll(ctx, node.ID+" to route to "+service.Name, func(ctx context.Context) error {
			return client.probeRoute(ctx, node.Callers, service.Path)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// probeRoute sends a read, and where the route takes none, an operation without a key, which is refused and does not run.
func (c *Client) probeRoute(ctx context.Context, node, path string) error {
	answer := c.Fetch(ctx, node, Request{Path: path, Token: "probe"})
	if answer.Whole {
		return nil
	}
	if answer.Status != http.StatusNotFound {
		return errors.Errorf("GET %s: %s %v", path, answer.Outcome(), answer.Err)
	}
	answer = c.Approve(ctx, node, Request{Path: path, Token: "probe"})
	if answer.Reason != "key_missing" {
		return errors.Errorf("POST %s: %s %v", path, answer.Outcome(), answer.Err)
	}
	return nil
}
