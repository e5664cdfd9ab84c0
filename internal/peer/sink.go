package peer

import "github.com/sardinereach/sardinereach/api/peerv1"

// Sink takes an answer while it arrives. Head is called once and first, then Body for each piece. The pieces may not be
// kept after the call. An error ends the attempt.
type Sink interface {
	Head(*peerv1.AnswerHead) error
	Body([]byte) error
}
