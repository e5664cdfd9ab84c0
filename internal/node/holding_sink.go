package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// holdingSink passes an answer on and keeps a copy while it is within the limit. An answer that can no longer be passed
// on is still kept, so that the accepting node can ask for it.
type holdingSink struct {
	next  peer.Sink
	limit int
	// broken means that next takes no more.
	broken bool
	// whole is false if the answer outgrew the limit.
	outgrown bool
	kept     *admission.Answer
}

// Head implements peer.Sink.
func (s *holdingSink) Head(head *peerv1.AnswerHead) error {
	s.kept = &admission.Answer{Status: int(head.Status), Headers: toHeaders(head.Headers)}
	return s.pass(func() error { return s.next.Head(head) })
}

// Body implements peer.Sink.
func (s *holdingSink) Body(piece []byte) error {
	if !s.outgrown && len(s.kept.Body)+len(piece) > s.limit {
		s.outgrown = true
		s.kept.Body = nil
	}
	if !s.outgrown {
		s.kept.Body = append(s.kept.Body, piece...)
	}
	return s.pass(func() error { return s.next.Body(piece) })
}

// pass returns an error only if the answer is neither passed on nor kept.
func (s *holdingSink) pass(do func() error) error {
	if s.broken {
		return nil
	}
	err := do()
	if err == nil {
		return nil
	}
	s.broken = true
	if s.outgrown {
		return err
	}
	return nil
}

// answer returns the kept answer, nil if it outgrew the limit or never began.
func (s *holdingSink) answer() *admission.Answer {
	if s.outgrown {
		return nil
	}
	return s.kept
}

func toHeaders(headers []*peerv1.Header) []admission.Header {
	out := make([]admission.Header, len(headers))
	for i, h := range headers {
		out[i] = admission.Header{Name: h.Name, Value: h.Value}
	}
	return out
}

func fromHeaders(headers []admission.Header) []*peerv1.Header {
	out := make([]*peerv1.Header, len(headers))
	for i, h := range headers {
		out[i] = &peerv1.Header{Name: h.Name, Value: h.Value}
	}
	return out
}
