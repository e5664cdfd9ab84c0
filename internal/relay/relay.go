package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Relay forwards the connections of one listener to one target.
type Relay struct {
	target     string
	link       *Link
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	cut   [numDirections]atomic.Bool
	bytes [numDirections]atomic.Int64
	delay atomic.Int64

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[*proxyConn]struct{}
}

// Start listens at host:port, port 0 for a free one, and forwards to target. link may be nil for no limit.
func Start(listen, target string, link *Link) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{target: target, link: link, ctx: ctx, cancel: cancel, address: listen, conns: map[*proxyConn]struct{}{}}
	if err := r.Accept(); err != nil {
		cancel()
		return nil, err
	}
	return r, nil
}

// Address returns host:port of the listener.
func (r *Relay) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Accept opens the listener. After Refuse it listens again at the same address.
func (r *Relay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.listener = listener
	r.address = listener.Addr().String()
	r.goroutines.Go(func() { r.serve(listener) })
	return nil
}

// Refuse closes the listener, so that new connections are refused. Open connections keep working.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	r.listener.Close()
	r.listener = nil
}

// Cut drops all bytes in one direction, on open and on new connections. No connection is closed.
func (r *Relay) Cut(d Direction) { r.cut[d].Store(true) }

// Heal ends a Cut. It closes the connections that dropped bytes, because a stream with a gap would be a new fault.
func (r *Relay) Heal(d Direction) {
	r.cut[d].Store(false)
	for _, p := range r.openConns() {
		if p.droppedBytes[d].Load() {
			p.close()
		}
	}
}

// Blackhole permanently drops all bytes, in both directions, on the connections that are open now. It closes none of
// them, and new connections work. It returns the number of affected connections.
func (r *Relay) Blackhole() int {
	conns := r.openConns()
	for _, p := range conns {
		p.blackholed.Store(true)
	}
	return len(conns)
}

// SetDelay delays all bytes that arrive after the call by d, in each direction.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Bytes returns the number of bytes delivered in one direction.
func (r *Relay) Bytes(d Direction) int64 { return r.bytes[d].Load() }

// Close closes the listener and all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.Refuse()
	r.cancel()
	for _, p := range r.openConns() {
		p.close()
	}
	r.goroutines.Wait()
}

func (r *Relay) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.connect(client) })
	}
}

// connect forwards one connection until both directions have ended.
func (r *Relay) connect(client net.Conn) {
	var dialer net.Dialer
	server, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	p := &proxyConn{relay: r, client: client, server: server}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	p.run()
}

func (r *Relay) add(p *proxyConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[p] = struct{}{}
	return r.ctx.Err() == nil
}

func (r *Relay) remove(p *proxyConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

func (r *Relay) openConns() []*proxyConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := make([]*proxyConn, 0, len(r.conns))
	for p := range r.conns {
		conns = append(conns, p)
	}
	return conns
}
