package peer

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Session is what Hello told of a peer. It ends with the peer's incarnation.
type Session struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	// clock is the peer's clock when the answer was received, at the least.
	clock      time.Duration
	receivedAt time.Time
}

// Clock returns the peer's monotonic clock now. It is behind the true one by at most the round trip of the Hello
// call, so a deadline set from it is never later than intended.
func (s *Session) Clock() time.Duration {
	return s.clock + time.Since(s.receivedAt)
}
