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

func newConn(address, purpose string, raw net.Conn) *conn {
	maxMessage := maxControlBytes
	if purpose == PurposeTraffic {
		maxMessage = maxTrafficBytes
	}
	rpc := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(maxMessage)})
	return &conn{address: address, rpc: rpc, client: peerv1.NewDRPCPeerClient(rpc), lastUsed: time.Now()}
}

// managerOptions returns the drpc options of both sides. maxMessage bounds the bytes of a received message that are kept, also of
// one that never ends. Messages are flushed explicitly, so that the frames of a small request or response are sent in one write.
func managerOptions(maxMessage int) drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		Stream:           drpcstream.Options{ManualFlush: true},
	}
}

// isOpen reports whether the connection is open. It does not detect a peer that disappeared without closing it.
func (c *conn) isOpen() bool {
	select {
	case <-c.rpc.Closed():
		return false
	default:
		return true
	}
}

func (c *conn) close() {
	// The connection is discarded, so an error from closing it needs no handling.
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
	if opts.OnBytes != nil {
		raw = &countingConn{Conn: raw, address: address, purpose: purpose, onBytes: opts.OnBytes}
	}
	return newConn(address, purpose, raw), nil
}
