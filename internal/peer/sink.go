package peer

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

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

// CutOffSink is a Sink that is notified when its admitting node stops and will cut off the attempt after the given time.
// WillBeCutOff may be called concurrently with the other methods. It may block for as long as they do.
type CutOffSink interface {
	WillBeCutOff(in time.Duration)
}

// ReportCutOff notifies the sink that its attempt will be cut off, if the sink implements CutOffSink.
func ReportCutOff(sink Sink, in time.Duration) {
	if s, ok := sink.(CutOffSink); ok {
		s.WillBeCutOff(in)
	}
}

// ReportOverdue notifies the sink that its attempt is overdue, if the sink implements OverdueSink.
func ReportOverdue(sink Sink) {
	if s, ok := sink.(OverdueSink); ok {
		s.Overdue()
	}
}
