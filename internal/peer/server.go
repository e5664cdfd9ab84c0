package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Server serves the calls of other nodes.
type Server struct {
	handler Handler
	opts    Options
	maxBody int
	calls   atomic.Int64
}

// Calls returns the number of Forward and Redeem calls in progress.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// NewServer returns a server that refuses request bodies over maxBody bytes.
func NewServer(handler Handler, maxBody int, opts Options) *Server {
	return &Server{handler: handler, opts: opts.withDefaults(), maxBody: maxBody}
}

// Serve serves calls on the listener until ctx ends, and then waits for the calls in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerv1.DRPCRegisterPeer(mux, &service{Server: s}); err != nil {
		return errors.Wrap(err, "peer: register")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(maxRequestBytes)})
	return errors.Wrap(server.Serve(ctx, listener), "peer: serve")
}
