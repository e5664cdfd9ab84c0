package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Snapshot is one node's immutable copy of its member table, the node itself included.
type Snapshot struct {
	Self    model.NodeID
	Members map[model.NodeID]Member
}

// Live returns the number of members that are not dead.
func (s *Snapshot) Live() int {
	live := 0
	for _, member := range s.Members {
		if member.State != Dead {
			live++
		}
	}
	return live
}
