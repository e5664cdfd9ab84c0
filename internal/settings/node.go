package settings

import "github.com/sardinereach/sardinereach/internal/model"

// Node is the identity of the daemon.
type Node struct {
	ID            model.NodeID
	Region        model.Region
	FailureDomain model.FailureDomain
	// Interface selects the protocols used with callers, upstreams and the store.
	Interface Interface
}

// Identity returns the node's identity for one incarnation, with the addresses from the settings.
func (s *Settings) Identity(incarnation model.Incarnation) model.Node {
	return model.Node{
		ID:              s.Node.ID,
		Incarnation:     incarnation,
		Region:          s.Node.Region,
		Domain:          s.Node.FailureDomain,
		PeerAddress:     s.Listen.Peers.String(),
		CallerAddress:   s.Listen.Callers.String(),
		OperatorAddress: s.Listen.Operators.String(),
	}
}
