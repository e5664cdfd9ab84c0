package peer

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Session is the response of a peer to Hello. It is valid for one incarnation of the peer.
type Session struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	// clock is a lower bound of the peer's clock at receivedAt.
	clock      time.Duration
	receivedAt time.Time
}

// Clock estimates the peer's current monotonic clock. The estimate lags by at most the round trip time of the Hello
// call, so a deadline derived from it is never later than intended.
func (s *Session) Clock() time.Duration {
	return s.clock + time.Since(s.receivedAt)
}
