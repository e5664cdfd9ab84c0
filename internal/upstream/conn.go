package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection to an upstream. http.Transport puts the connection of a response without a body back into its pool
// before the client sees the head of the response, so the client has to close the connection itself if it must not carry
// another request. http.Transport also takes bytes that are already buffered for the response to the next request, so conn
// records whether bytes were received since the request was sent.
type conn struct {
	net.Conn
	// exchange is locked from the time at which a request obtains the connection until the client has examined the head of
	// its response. discarded is read and written with the lock held.
	exchange  sync.Mutex
	discarded bool
	// reads counts the reads that returned bytes. readsBeforeRequest is its value when the request was written, or notSent.
	reads              atomic.Int64
	readsBeforeRequest atomic.Int64
}

// notSent is the value of conn.readsBeforeRequest while no byte of the request was written.
const notSent = -1

// dialConn returns a dial function whose connections are of type *conn.
func dialConn(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.readsBeforeRequest.CompareAndSwap(notSent, c.reads.Load())
	return c.Conn.Write(p)
}

// receivedSinceRequest reports whether bytes were received after the request was sent.
func (c *conn) receivedSinceRequest() bool {
	before := c.readsBeforeRequest.Load()
	return before != notSent && c.reads.Load() > before
}
