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

// errSilent ends a call whose connection delivers no frame in time.
var errSilent = errors.New("peer: no frame in time")

// frameStream is what Forward and Redeem have in common on the client's side.
type frameStream interface {
	drpc.Stream
	Send(*peerv1.ForwardFrame) error
	Recv() (*peerv1.AnswerFrame, error)
}

// Forward runs one attempt at a target of the peer and passes its answer to sink. It sets the incarnation and the
// latest admission time of the head. It returns the trailer, or a *ForwardError if the connection failed before the
// trailer arrived.
func (c *Client) Forward(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink) (*peerv1.AnswerTrailer, error) {
	return c.exchange(ctx, address, head, body, sink, func(ctx context.Context, k *conn) (frameStream, error) {
		return k.client.Forward(ctx)
	})
}

// Redeem passes a request with an operation ticket to the node that issued the ticket. It is like Forward.
func (c *Client) Redeem(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink) (*peerv1.AnswerTrailer, error) {
	return c.exchange(ctx, address, head, body, sink, func(ctx context.Context, k *conn) (frameStream, error) {
		return k.client.Redeem(ctx)
	})
}

func (c *Client) exchange(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink Sink,
	open func(context.Context, *conn) (frameStream, error)) (*peerv1.AnswerTrailer, error) {
	key := poolKey{address: address, purpose: PurposeTraffic}
	k, session, err := c.ready(ctx, key)
	if err != nil {
		return nil, &ForwardError{Cause: err}
	}
	stampAdmission(head, session)
	// The stream outlives the request by the confirmation of its answer.
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
	x := &exchange{stream: stream, sink: sink, watchdog: watchdog.New(c.opts.Silence, func() { cancel(errSilent) })}
	trailer, err := x.run(head, body)
	if err != nil {
		silent := context.Cause(ctx) == errSilent
		cancel(nil)
		k.close()
		return nil, &ForwardError{
			Sent: true, HeadSeen: x.headSeen, Silent: silent,
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
		c.confirm(key, k, stream)
	}()
	return trailer, nil
}

// ready returns a connection that is known to work, and the session of the peer.
func (c *Client) ready(ctx context.Context, key poolKey) (*conn, *Session, error) {
	k, fresh, err := c.pool.get(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	session := c.session(key.address)
	if session != nil && (fresh || time.Since(k.lastUsed) < c.opts.IdleCheck) {
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
	// The idle connection is dead or silent. The others may be as well, and a new one may work.
	c.pool.drop(key.address)
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

// release takes the connection back after the peer has ended the call, which it does right after the trailer. The stream
// has to be finished before its context is cancelled: drpc closes the connection otherwise.
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

// confirm tells the peer that the answer was collected, so that it need not hold it any longer. A lost confirmation only
// means that the answer is held until its time is over.
func (c *Client) confirm(key poolKey, k *conn, stream frameStream) {
	if err := stream.CloseSend(); err != nil {
		k.close()
		return
	}
	c.release(key, k, stream)
}

// stampAdmission sets for which incarnation and until when the attempt may be admitted.
func stampAdmission(head *peerv1.ForwardHead, session *Session) {
	ahead := min(time.Duration(head.TimeoutMs)*time.Millisecond, maxAdmitAhead)
	head.Incarnation = uint64(session.Incarnation)
	head.AdmitBeforeMs = (session.Clock() + ahead).Milliseconds()
}
