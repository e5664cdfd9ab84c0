package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// conn is one connection to a peer. It carries one call at a time.
type conn struct {
	address string
	rpc     *drpcconn.Conn
	client  peerv1.DRPCPeerClient
	// lastUsed is when the last call on the connection ended.
	lastUsed time.Time
}

func newConn(address string, raw net.Conn) *conn {
	rpc := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return &conn{address: address, rpc: rpc, client: peerv1.NewDRPCPeerClient(rpc), lastUsed: time.Now()}
}

// managerOptions are the same on both sides. Messages are flushed by hand, so that the frames of a small request or answer
// leave in one write.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{ManualFlush: true},
	}
}

// isOpen reports whether the connection was not closed, as far as this side knows.
func (c *conn) isOpen() bool {
	select {
	case <-c.rpc.Closed():
		return false
	default:
		return true
	}
}

func (c *conn) close() {
	// The error of closing a connection that is given up tells nothing.
	_ = c.rpc.Close()
}

func dial(ctx context.Context, address, purpose string, opts Options) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if opts.Count != nil {
		raw = &countingConn{Conn: raw, address: address, purpose: purpose, count: opts.Count}
	}
	return newConn(address, raw), nil
}
