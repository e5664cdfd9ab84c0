package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Snapshot is the fleet as one node sees it at one moment, itself included. It is never changed after it was published.
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
