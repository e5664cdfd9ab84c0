package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// conn is a connection to an upstream. http.Transport puts the connection of a response without a body back into its pool
// before the client sees the head of the response, so the client has to close the connection itself if it must not carry
// another request. http.Transport also takes bytes that are already buffered for the response to the next request, so conn
// records whether bytes were received since the request was sent.
type conn struct {
	net.Conn
	// exchange is locked from the time at which a request obtains the connection until the client has examined the head of
	// its response, and the trailers if it has a body. discarded is read and written with the lock held.
	exchange  sync.Mutex
	discarded bool
	// reads counts the reads that returned bytes. readsBeforeRequest is its value when the request was written, or notSent.
	reads              atomic.Int64
	readsBeforeRequest atomic.Int64
	writes             writeState
	head               headCheck
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

// Read implements net.Conn. The kernel reports a reset once, to the call that comes first. If that is a write, a read sees
// the end of the stream, which would be the end of a body without a length. Read returns the error of the write instead.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		c.head.read(p[:n])
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns the error of the writes, or io.EOF if there is none. A write that still runs may have taken the error.
// It returns when the connection is closed, which http.Transport does when the context of the request ends.
func (c *conn) endOfStream() error {
	if !c.head.isComplete() {
		// Without a head this is a failure in any case.
		return io.EOF
	}
	if err := c.writes.wait(); err != nil {
		return errors.Wrap(err, "upstream: the connection failed while the request was written")
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.readsBeforeRequest.CompareAndSwap(notSent, c.reads.Load())
	c.writes.begin()
	n, err := c.Conn.Write(p)
	c.writes.end(err)
	return n, err
}

// receivedSinceRequest reports whether bytes were received after the request was sent.
func (c *conn) receivedSinceRequest() bool {
	before := c.readsBeforeRequest.Load()
	return before != notSent && c.reads.Load() > before
}
