package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sardinereach/sardinereach/internal/callerconn"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// listeners are the node's open listeners.
type listeners struct {
	callers, peers, operators, upstreams net.Listener
	// health and metrics are nil if the settings give them no address.
	health, metrics net.Listener
	// loads receives load digests (UDP) at the address of the peer listener.
	loads net.PacketConn
}

func (n *Node) listen() (l listeners, err error) {
	for _, open := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", n.settings.Listen.Callers.String(), &l.callers},
		{"peers", n.settings.Listen.Peers.String(), &l.peers},
		{"operators", n.settings.Listen.Operators.String(), &l.operators},
		{"upstreams", n.settings.Listen.Upstreams.String(), &l.upstreams},
		{"health", optionalAddress(n.settings.Listen.Health), &l.health},
		{"metrics", optionalAddress(n.settings.Listen.Metrics), &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		*open.into, err = net.Listen("tcp", open.address)
		if err != nil {
			n.log.Emit(events.ListenerFailed, events.AddressField(open.address), events.OperationField(open.name), events.CauseField(err))
			return l, errors.Wrapf(err, "listener for %s", open.name)
		}
	}
	// The listener's address, not the setting: the settings may leave the choice of the port to the system.
	address := l.peers.Addr().String()
	if l.loads, err = net.ListenPacket("udp", address); err != nil {
		n.log.Emit(events.ListenerFailed, events.AddressField(address), events.OperationField("loads"), events.CauseField(err))
		return l, errors.Wrap(err, "listener for loads")
	}
	return l, nil
}

// optionalAddress returns "" for an address that is not set.
func optionalAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// servers are the node's HTTP servers.
type servers struct {
	// callers, operators and upstreams shut down gracefully.
	callers, operators, upstreams *http.Server
	// callersListener is the listener of callers, callersActive are their active connections.
	callersListener *limitListener
	callersActive   *activeConnections
	// auxiliary serve health checks and metrics. They are closed last, without waiting for open requests.
	auxiliary []*http.Server
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group, l listeners) servers {
	s := servers{
		callers:   n.httpServer(n.acceptor),
		operators: n.httpServer(n.operatorHandler()),
		upstreams: n.upstreamServer(),

		callersListener: newLimitListener(l.callers, n.settings.Limits.MaxConnections),
		callersActive:   newActiveConnections(),
	}
	s.callers.ConnState = func(c net.Conn, state http.ConnState) {
		s.callersActive.record(c, state)
		callerconn.RecordState(c, state)
	}
	s.callers.ConnContext = callerconn.WithConn
	group.Go(func() error {
		return serveHTTP(s.callers, s.callersListener)
	})
	group.Go(func() error { return serveHTTP(s.operators, l.operators) })
	group.Go(func() error { return serveHTTP(s.upstreams, l.upstreams) })
	if l.health != nil {
		server := n.httpServer(http.HandlerFunc(n.acceptor.serveHealthOnly))
		s.auxiliary = append(s.auxiliary, server)
		group.Go(func() error { return serveHTTP(server, l.health) })
	}
	if l.metrics != nil {
		server := n.httpServer(expvar.Handler())
		s.auxiliary = append(s.auxiliary, server)
		group.Go(func() error { return serveHTTP(server, l.metrics) })
	}
	n.peerServer = peer.NewServer(&handler{node: n}, int(n.settings.Limits.MaxBodyBytes), peer.Options{})
	group.Go(func() error { return n.peerServer.Serve(ctx, l.peers) })
	return s
}

// announcementTimeout bounds the time in which an upstream sends an announcement, which fits into one packet.
const announcementTimeout = 10 * time.Second

func (n *Node) upstreamServer() *http.Server {
	server := n.httpServer(n.ports.Announcements(n.handleAnnouncement, n.handleDeregistration))
	server.ReadTimeout = announcementTimeout
	return server
}

func (n *Node) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.Limits.ReadHeaderTimeout,
		IdleTimeout:       n.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    int(n.settings.Limits.MaxHeaderBytes),
		ErrorLog:          nil,
	}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "http server")
	}
	return nil
}
