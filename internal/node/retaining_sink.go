package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// retainingSink forwards a response and retains a copy if it is within the limit. A response that can no longer be
// forwarded is still retained, so that the accepting node can look it up.
type retainingSink struct {
	next  peer.Sink
	limit int
	// broken means that next has returned an error. Nothing more is forwarded to it.
	broken bool
	// overLimit means that the response is larger than the limit and is not retained.
	overLimit bool
	retained  *admission.Answer
}

// Head implements peer.Sink.
func (s *retainingSink) Head(head *peerv1.AnswerHead) error {
	s.retained = &admission.Answer{Status: int(head.Status), Headers: toHeaders(head.Headers)}
	return s.forward(func() error { return s.next.Head(head) })
}

// Body implements peer.Sink.
func (s *retainingSink) Body(piece []byte) error {
	if !s.overLimit && len(s.retained.Body)+len(piece) > s.limit {
		s.overLimit = true
		s.retained.Body = nil
	}
	if !s.overLimit {
		s.retained.Body = append(s.retained.Body, piece...)
	}
	return s.forward(func() error { return s.next.Body(piece) })
}

// forward calls do unless the sink is broken. It returns an error only if the response is neither forwarded nor
// retained.
func (s *retainingSink) forward(do func() error) error {
	if s.broken {
		return nil
	}
	err := do()
	if err == nil {
		return nil
	}
	s.broken = true
	if s.overLimit {
		return err
	}
	return nil
}

// answer returns the retained response, nil if it exceeded the limit or has no head.
func (s *retainingSink) answer() *admission.Answer {
	if s.overLimit {
		return nil
	}
	return s.retained
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
