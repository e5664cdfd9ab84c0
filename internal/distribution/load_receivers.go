package distribution

import "github.com/sardinereach/sardinereach/internal/membership"

// LoadReceivers returns the nodes to which this node sends the load of targets.
func (d *Distributor) LoadReceivers() membership.LoadReceivers {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentView().LoadReceivers()
}
