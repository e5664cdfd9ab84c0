package node

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// errDetached is returned for the parts of a response that nobody waits for.
var errDetached = errors.New("node: the request no longer waits for the response")

// detachableSink forwards a response until it is detached.
type detachableSink struct {
	mu       sync.Mutex
	next     peer.Sink
	detached bool
}

// detach stops the forwarding. After it returns, next is not used.
func (s *detachableSink) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detached = true
}

// Head implements peer.Sink.
func (s *detachableSink) Head(head *peerv1.AnswerHead) error {
	return s.forward(func() error { return s.next.Head(head) })
}

// Body implements peer.Sink.
func (s *detachableSink) Body(piece []byte) error {
	return s.forward(func() error { return s.next.Body(piece) })
}

func (s *detachableSink) forward(do func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detached {
		return errDetached
	}
	return do()
}
