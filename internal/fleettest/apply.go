package fleettest

import "context"

// Apply applies the layout's declarations through the operators' listener of a node.
func (f *Fleet) Apply(ctx context.Context, node *Node) error {
	_, err := f.Control(ctx, node, f.options.Layout.Declarations, "apply", "-wait", "-")
	return err
}

// WaitRoutes waits until every daemon carries requests to every service of the layout. It uses requests that run
// nothing.
func (f *Fleet) WaitRoutes(ctx context.Context) error {
	client := NewClient()
	defer client.Close()
	for _, node := range f.Nodes {
		if err := f.waitRoutesOf(ctx, client, node); err != nil {
			return err
		}
	}
	return nil
}
