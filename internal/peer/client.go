package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// maxAdmitAhead bounds how far an attempt's latest admission time may lie ahead of the admitting node's clock.
// It is below the limit of 30 s that the admission point enforces.
const maxAdmitAhead = 20 * time.Second

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	self model.NodeID
	opts Options
	pool *pool

	mu       sync.Mutex
	sessions map[string]*Session
}

// NewClient returns a client for the node self.
func NewClient(self model.NodeID, opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{self: self, opts: opts, pool: newPool(opts), sessions: make(map[string]*Session)}
}

// Close closes all idle connections. Calls in progress end as usual.
func (c *Client) Close() { c.pool.close() }

// ExpireIdle closes connections that were idle for longer than the given time.
func (c *Client) ExpireIdle(maxIdle time.Duration) { c.pool.expire(maxIdle) }

// Hello requests the peer's incarnation and clock and caches the response for later calls.
func (c *Client) Hello(ctx context.Context, address string) (*Session, error) {
	var session *Session
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		session, err = c.hello(ctx, k)
		return err
	})
	return session, err
}

func (c *Client) hello(ctx context.Context, k *conn) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	res, err := k.client.Hello(ctx, &peerv1.HelloRequest{Node: string(c.self)})
	if err != nil {
		return nil, err
	}
	session := &Session{
		Node:        model.NodeID(res.Node),
		Incarnation: model.Incarnation(res.Incarnation),
		clock:       time.Duration(res.ClockMs) * time.Millisecond,
		receivedAt:  time.Now(),
	}
	c.mu.Lock()
	c.sessions[k.address] = session
	c.mu.Unlock()
	return session, nil
}

// session returns the cached response to the last Hello, or nil.
func (c *Client) session(address string) *Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[address]
}

// DropSession removes the cached session of the peer, so that the next request starts with Hello. It is called when the
// peer refuses an attempt because it was addressed to an earlier incarnation.
func (c *Client) DropSession(address string) {
	c.mu.Lock()
	delete(c.sessions, address)
	c.mu.Unlock()
}

// Lookup requests the state of an attempt. It uses a new connection, because the existing ones may no longer deliver
// frames.
func (c *Client) Lookup(ctx context.Context, address string, req *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	c.pool.closeIdle(address)
	var res *peerv1.LookupResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Lookup(ctx, req)
		return err
	})
	decodeAnswerHead(res.GetHead())
	return res, err
}

// Operation requests the state of an operation from the holder of its claim.
func (c *Client) Operation(ctx context.Context, address string, req *peerv1.OperationRequest) (*peerv1.OperationResponse, error) {
	var res *peerv1.OperationResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Operation(ctx, req)
		return err
	})
	decodeAnswerHead(res.GetHead())
	return res, err
}

// Pull requests the node records and documents that this node has not received yet.
func (c *Client) Pull(ctx context.Context, address string, req *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	var res *peerv1.PullResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Pull(ctx, req)
		return err
	})
	return res, err
}

// Chunks requests chunks of configuration documents.
func (c *Client) Chunks(ctx context.Context, address string, req *peerv1.ChunksRequest) (*peerv1.ChunksResponse, error) {
	var res *peerv1.ChunksResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Chunks(ctx, req)
		return err
	})
	return res, err
}

// Reports requests an admitting node's failure detector reports about its targets of a service.
func (c *Client) Reports(ctx context.Context, address string, req *peerv1.ReportsRequest) (*peerv1.ReportsResponse, error) {
	var res *peerv1.ReportsResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Reports(ctx, req)
		return err
	})
	return res, err
}

// Warn notifies an admitting node of a request that may crash its upstream.
func (c *Client) Warn(ctx context.Context, address string, req *peerv1.WarnRequest) error {
	return c.call(ctx, address, func(ctx context.Context, k *conn) error {
		_, err := k.client.Warn(ctx, req)
		return err
	})
}

// Stopping tells an admitting node that this node stops.
func (c *Client) Stopping(ctx context.Context, address string, req *peerv1.StoppingRequest) error {
	return c.call(ctx, address, func(ctx context.Context, k *conn) error {
		_, err := k.client.Stopping(ctx, req)
		return err
	})
}

// Quota asks the node that distributes the quotas of some client accounts for permits.
func (c *Client) Quota(ctx context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	var res *peerv1.QuotaResponse
	err := c.call(ctx, address, func(ctx context.Context, k *conn) (err error) {
		res, err = k.client.Quota(ctx, req)
		return err
	})
	return res, err
}

// call makes one unary call. If the call fails on a reused connection, it is retried once on a new one. This is safe
// because all unary calls are idempotent.
func (c *Client) call(ctx context.Context, address string, do func(context.Context, *conn) error) error {
	key := poolKey{address: address, purpose: PurposeControl}
	k, fresh, err := c.pool.get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "peer: dial %s", address)
	}
	err = c.callOn(ctx, key, k, do)
	if err == nil || fresh || ctx.Err() != nil {
		return errors.Wrapf(err, "peer: call %s", address)
	}
	c.pool.closeIdle(address)
	k, _, err = c.pool.get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "peer: dial %s", address)
	}
	return errors.Wrapf(c.callOn(ctx, key, k, do), "peer: call %s", address)
}

func (c *Client) callOn(ctx context.Context, key poolKey, k *conn, do func(context.Context, *conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	if err := do(ctx, k); err != nil {
		k.close()
		return err
	}
	c.pool.put(key, k)
	return nil
}
