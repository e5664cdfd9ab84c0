package peer

import (
	"context"
	"sync"
	"time"
)

// poolKey separates the connections of a peer by purpose, so that control calls never wait behind requests and the
// bytes of each purpose are counted separately.
type poolKey struct {
	address string
	purpose string
}

// pool holds the idle connections of each key and reuses the most recently used one first.
type pool struct {
	opts Options

	mu     sync.Mutex
	idle   map[poolKey][]*conn
	closed bool
}

func newPool(opts Options) *pool {
	return &pool{opts: opts, idle: make(map[poolKey][]*conn)}
}

// get returns an idle connection, or opens a new one. fresh is true for a new one.
func (p *pool) get(ctx context.Context, key poolKey) (c *conn, fresh bool, err error) {
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		if c.isOpen() {
			return c, false, nil
		}
		c.close()
	}
	c, err = dial(ctx, key.address, key.purpose, p.opts)
	return c, true, err
}

func (p *pool) pop(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after its call has ended.
func (p *pool) put(key poolKey, c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	keep := !p.closed && c.isOpen() && len(p.idle[key]) < p.opts.MaxIdle
	if keep {
		p.idle[key] = append(p.idle[key], c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// closeIdle closes all idle connections to the address. It is called when one of them failed or stopped delivering
// frames, because the others may have failed in the same way.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	var dropped []*conn
	for _, purpose := range []string{PurposeTraffic, PurposeControl} {
		key := poolKey{address: address, purpose: purpose}
		dropped = append(dropped, p.idle[key]...)
		delete(p.idle, key)
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.close()
	}
}

// expire closes connections that were idle for longer than the given time.
func (p *pool) expire(maxIdle time.Duration) {
	p.mu.Lock()
	var dropped []*conn
	for key, list := range p.idle {
		kept := list[:0:0]
		for _, c := range list {
			if time.Since(c.lastUsed) > maxIdle {
				dropped = append(dropped, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = make(map[poolKey][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}
