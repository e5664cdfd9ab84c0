package fleettest

import "context"

// Apply applies the layout's declarations through the operator API of a node.
func (f *Fleet) Apply(ctx context.Context, node *Node) error {
	_, err := f.Control(ctx, node, f.options.Layout.Declarations, "apply", "-wait", "-")
	return err
}

// WaitRoutes waits until every daemon routes requests to every service of the layout. It sends no operation that would
// run.
func (f *Fleet) WaitRoutes(ctx context.Context) error {
	client := NewClient()
	defer client.Close()
	for _, node := range f.Nodes {
		if err := f.waitNodeRoutes(ctx, client, node); err != nil {
			return err
		}
	}
	return nil
}
