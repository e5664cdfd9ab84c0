package node

import (
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// progressSink tracks an attempt that runs at an upstream. It is a peer.Sink between the upstream and the receiver.
type progressSink struct {
	next    peer.Sink
	clock   clock
	target  model.TargetID
	route   string
	limit   time.Duration
	started time.Duration
	// retriedRequestID is the ID of the request if the attempt is an additional attempt or belongs to a nested request
	// of a retry, "" otherwise.
	retriedRequestID string
	// headAt and lastAt are the times of the first and the last byte, in nanoseconds of the node's clock; 0 for none.
	headAt atomic.Int64
	lastAt atomic.Int64
	// delivering is true while the receiver processes a piece. That time does not count as idle time of the upstream.
	delivering atomic.Bool
}

// Head implements peer.Sink.
func (p *progressSink) Head(head *peerv1.AnswerHead) error {
	now := int64(p.clock.now())
	p.headAt.Store(now)
	p.lastAt.Store(now)
	return p.deliver(func() error { return p.next.Head(head) })
}

// Body implements peer.Sink.
func (p *progressSink) Body(piece []byte) error {
	return p.deliver(func() error { return p.next.Body(piece) })
}

func (p *progressSink) deliver(do func() error) error {
	p.delivering.Store(true)
	err := do()
	p.lastAt.Store(int64(p.clock.now()))
	p.delivering.Store(false)
	return err
}

// inFlight returns the progress of the attempt in the form used by the failure detector.
func (p *progressSink) inFlight(now time.Duration, coldStart bool) detect.InFlight {
	f := detect.InFlight{Route: detect.Route(p.route), Limit: p.limit, ColdStart: coldStart}
	switch {
	case p.headAt.Load() == 0:
		f.Waiting = now - p.started
	case !p.delivering.Load():
		f.Idle = now - time.Duration(p.lastAt.Load())
	}
	return f
}
