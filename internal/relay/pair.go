package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pair is one connection through the relay.
type pair struct {
	relay  *Relay
	client net.Conn
	server net.Conn
	silent atomic.Bool
	// lost says that bytes of a direction were dropped.
	lost [directions]atomic.Bool
}

func (p *pair) run() {
	defer p.close()
	var wait sync.WaitGroup
	wait.Go(func() { p.pump(Forward, p.client, p.server) })
	wait.Go(func() { p.pump(Backward, p.server, p.client) })
	wait.Wait()
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

// pump moves one direction. The end of a stream is passed on as such; a broken connection breaks both sides.
func (p *pair) pump(d Direction, from, to net.Conn) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.deliver(d, to, queue)
	}()
	err := p.collect(d, from, queue)
	close(queue)
	<-done
	if err != nil {
		p.close()
		return
	}
	if p.drops(d) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

// collect reads until the end of the stream, for which it returns nil.
func (p *pair) collect(d Direction, from net.Conn, queue chan<- chunk) error {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			due := time.Now().Add(time.Duration(p.relay.delay.Load()))
			queue <- chunk{data: buffer[:n], due: due}
		}
		if err != nil {
			return streamError(err)
		}
	}
}

// deliver writes the chunks when they are due, or drops them. It reads the queue to its end, so that collect never
// blocks for good.
func (p *pair) deliver(d Direction, to net.Conn, queue <-chan chunk) {
	broken := false
	for c := range queue {
		if broken {
			continue
		}
		p.sleepUntil(c.due)
		if p.drops(d) {
			p.lost[d].Store(true)
			continue
		}
		if !p.write(d, to, c.data) {
			broken = true
			p.close()
		}
	}
}

func (p *pair) write(d Direction, to net.Conn, data []byte) bool {
	if p.relay.link.wait(p.relay.ctx, d, len(data)) != nil {
		return false
	}
	n, err := to.Write(data)
	p.relay.bytes[d].Add(int64(n))
	return err == nil
}

// drops reports whether bytes of the direction are dropped. Once a connection lost bytes it never delivers again.
func (p *pair) drops(d Direction) bool {
	return p.silent.Load() || p.lost[d].Load() || p.relay.cut[d].Load()
}

func (p *pair) sleepUntil(due time.Time) {
	wait := time.Until(due)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.relay.ctx.Done():
	}
}
