package peer

import "github.com/sardinereach/sardinereach/api/peerv1"

// Sink takes an answer while it arrives. Head is called once and first, then Body for each piece. The pieces may not be
// kept after the call. An error ends the attempt.
type Sink interface {
	Head(*peerv1.AnswerHead) error
	Body([]byte) error
}

// OverdueSink is a Sink that wants to know when its attempt takes much longer than usual. Overdue may be called while
// another method runs; it does not block.
type OverdueSink interface {
	Overdue()
}

// ReportOverdue tells the sink that its attempt is overdue, if it wants to know.
func ReportOverdue(sink Sink) {
	if s, ok := sink.(OverdueSink); ok {
		s.Overdue()
	}
}
