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
	target string
	link   *Link
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	cut   [directions]atomic.Bool
	bytes [directions]atomic.Int64
	delay atomic.Int64

	mu       sync.Mutex
	address  string
	listener net.Listener
	pairs    map[*pair]struct{}
}

// Start listens at host:port, port 0 for a free one, and forwards to target. link may be nil for no limit.
func Start(listen, target string, link *Link) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{target: target, link: link, ctx: ctx, cancel: cancel, address: listen, pairs: map[*pair]struct{}{}}
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

// Accept opens the listener at its address, after Refuse.
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
	r.wait.Go(func() { r.serve(listener) })
	return nil
}

// Refuse closes the listener, so that new connections are refused. Open connections go on.
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

// Heal ends a Cut. Connections that lost bytes are broken off, because a stream with a gap would be a new fault.
func (r *Relay) Heal(d Direction) {
	r.cut[d].Store(false)
	for _, p := range r.open() {
		if p.lost[d].Load() {
			p.close()
		}
	}
}

// Silence drops all bytes, in both directions and for good, on the connections that are open now. No connection is
// closed and new ones work. It returns the number of silenced connections.
func (r *Relay) Silence() int {
	pairs := r.open()
	for _, p := range pairs {
		p.silent.Store(true)
	}
	return len(pairs)
}

// SetDelay delays all bytes that arrive from now on by d in each direction.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Bytes returns the number of bytes delivered in one direction.
func (r *Relay) Bytes(d Direction) int64 { return r.bytes[d].Load() }

// Close closes the listener and all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.Refuse()
	r.cancel()
	for _, p := range r.open() {
		p.close()
	}
	r.wait.Wait()
}

func (r *Relay) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.wait.Go(func() { r.connect(client) })
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
	p := &pair{relay: r, client: client, server: server}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	p.run()
}

func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pairs[p] = struct{}{}
	return r.ctx.Err() == nil
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

func (r *Relay) open() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	pairs := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}
