package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Transition is a change of a member's liveness.
type Transition struct {
	Node     model.NodeID
	From, To State
}
