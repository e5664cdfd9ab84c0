package peer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/watchdog"
)

// errFrameTimeout ends a call whose connection delivers no frame within Options.FrameTimeout.
var errFrameTimeout = errors.New("peer: no frame in time")

// frameStream is the client's side of a Forward or Redeem stream.
type frameStream interface {
	drpc.Stream
	Send(*peerv1.ForwardFrame) error
	Recv() (*peerv1.AnswerFrame, error)
}

// Forward runs one attempt at a target of the peer and writes the response to sink. It sets the incarnation and the
// latest admission time in head. It returns the trailer, or a *ForwardError if the connection failed before the trailer
// was received.
func (c *Client) Forward(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink) (*peerv1.AnswerTrailer, error) {
	return c.callStream(ctx, address, head, body, sink, func(ctx context.Context, k *conn) (frameStream, error) {
		return k.client.Forward(ctx)
	})
}

// Redeem forwards a request with an operation ticket to the node that issued the ticket. Otherwise it works like Forward.
func (c *Client) Redeem(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink) (*peerv1.AnswerTrailer, error) {
	return c.callStream(ctx, address, head, body, sink, func(ctx context.Context, k *conn) (frameStream, error) {
		return k.client.Redeem(ctx)
	})
}

func (c *Client) callStream(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink,
	open func(context.Context, *conn) (frameStream, error)) (*peerv1.AnswerTrailer, error) {
	key := poolKey{address: address, purpose: PurposeTraffic}
	k, session, err := c.checkedConn(ctx, key)
	if err != nil {
		return nil, &ForwardError{Cause: err}
	}
	setAdmission(head, session)
	// The response is acknowledged on the stream after the call has returned, so the stream must not end with the caller's
	// context.
	caller := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	detach := context.AfterFunc(caller, func() { cancel(caller.Err()) })
	defer detach()
	stream, err := open(ctx, k)
	if err != nil {
		cancel(nil)
		k.close()
		return nil, &ForwardError{Cause: err}
	}
	x := &streamCall{stream: stream, sink: sink, watchdog: watchdog.New(c.opts.FrameTimeout, func() { cancel(errFrameTimeout) })}
	trailer, err := x.run(head, body)
	if err != nil {
		timedOut := context.Cause(ctx) == errFrameTimeout
		cancel(nil)
		k.close()
		return nil, &ForwardError{
			Sent: true, HeadReceived: x.headReceived, FrameTimedOut: timedOut,
			Incarnation: session.Incarnation, Cause: err,
		}
	}
	if head.Idempotent {
		c.release(key, k, stream)
		cancel(nil)
		return trailer, nil
	}
	go func() {
		defer cancel(nil)
		x.watchdog.Start()
		defer x.watchdog.Stop()
		c.acknowledge(key, k, stream)
	}()
	return trailer, nil
}

// checkedConn returns a connection that is new, was used recently or has just answered a Hello, and the session of the
// peer.
func (c *Client) checkedConn(ctx context.Context, key poolKey) (*conn, *Session, error) {
	k, fresh, err := c.pool.get(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	session := c.session(key.address)
	if session != nil && (fresh || time.Since(k.lastUsed) < c.opts.IdleCheckAfter) {
		return k, session, nil
	}
	session, err = c.hello(ctx, k)
	if err == nil {
		return k, session, nil
	}
	k.close()
	if fresh || ctx.Err() != nil {
		return nil, nil, err
	}
	// The idle connection is closed or no longer delivers frames. The other idle connections may have failed as well, but
	// a new one may work.
	c.pool.closeIdle(key.address)
	k, err = dial(ctx, key.address, key.purpose, c.opts)
	if err != nil {
		return nil, nil, err
	}
	session, err = c.hello(ctx, k)
	if err != nil {
		k.close()
		return nil, nil, err
	}
	return k, session, nil
}

// release returns the connection to the pool after the peer has ended the call, which it does right after the trailer.
// The stream has to be finished before its context is cancelled: drpc closes the connection otherwise.
func (c *Client) release(key poolKey, k *conn, stream frameStream) {
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		k.close()
		return
	}
	if f, ok := underlying(stream).(interface{ Finished() <-chan struct{} }); ok {
		<-f.Finished()
	}
	c.pool.put(key, k)
}

// acknowledge reports to the peer that the response was received, so that the peer can free it. If the acknowledgement
// is lost, the peer retains the response until its retention time ends.
func (c *Client) acknowledge(key poolKey, k *conn, stream frameStream) {
	if err := stream.CloseSend(); err != nil {
		k.close()
		return
	}
	c.release(key, k, stream)
}

// setAdmission sets the incarnation that may admit the attempt, and the latest admission time.
func setAdmission(head *peerv1.ForwardHead, session *Session) {
	ahead := min(time.Duration(head.TimeoutMs)*time.Millisecond, maxAdmitAhead)
	head.Incarnation = uint64(session.Incarnation)
	head.AdmitBeforeMs = (session.Clock() + ahead).Milliseconds()
}
