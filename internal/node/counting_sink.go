package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// countingSink counts the body bytes that it forwards.
type countingSink struct {
	next  peer.Sink
	bytes int64
}

// Head implements peer.Sink.
func (s *countingSink) Head(head *peerv1.AnswerHead) error { return s.next.Head(head) }

// Body implements peer.Sink.
func (s *countingSink) Body(piece []byte) error {
	s.bytes += int64(len(piece))
	return s.next.Body(piece)
}
