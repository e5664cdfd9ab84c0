package peer

import "github.com/sardinereach/sardinereach/api/peerv1"

// Sink receives a response as it arrives. Head is called once and first, then Body for each piece. An implementation
// must not retain a piece after the call. An error ends the attempt.
type Sink interface {
	Head(*peerv1.AnswerHead) error
	Body([]byte) error
}

// OverdueSink is a Sink that is notified when its attempt takes much longer than usual. Overdue may be called
// concurrently with the other methods and must not block.
type OverdueSink interface {
	Overdue()
}

// ReportOverdue notifies the sink that its attempt is overdue, if the sink implements OverdueSink.
func ReportOverdue(sink Sink) {
	if s, ok := sink.(OverdueSink); ok {
		s.Overdue()
	}
}
