package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyConn is one connection through the relay: the client's connection and the one to the relay's target.
type proxyConn struct {
	relay      *Relay
	client     net.Conn
	server     net.Conn
	blackholed atomic.Bool
	// droppedBytes is set for a direction once bytes of it were dropped.
	droppedBytes [numDirections]atomic.Bool
}

func (p *proxyConn) run() {
	defer p.close()
	var wait sync.WaitGroup
	wait.Go(func() { p.copyDirection(Forward, p.client, p.server) })
	wait.Go(func() { p.copyDirection(Backward, p.server, p.client) })
	wait.Wait()
}

func (p *proxyConn) close() {
	p.client.Close()
	p.server.Close()
}

// copyDirection forwards one direction. The end of a stream is forwarded as a half-close, unless the direction drops
// bytes. A connection error closes both connections.
func (p *proxyConn) copyDirection(d Direction, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.writeChunks(d, to, queue)
	}()
	err := p.readChunks(d, from, queue)
	close(queue)
	<-done
	if err != nil {
		p.close()
		return
	}
	if p.isDropping(d) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// readChunks queues what it reads from the connection, and returns nil at the end of the stream.
func (p *proxyConn) readChunks(d Direction, from net.Conn, queue chan<- chunk) error {
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

// writeChunks writes the chunks when they are due, or drops them. It drains the queue until it is closed, also after a
// failed write, so that readChunks cannot block forever.
func (p *proxyConn) writeChunks(d Direction, to net.Conn, queue <-chan chunk) {
	writeFailed := false
	for c := range queue {
		if writeFailed {
			continue
		}
		p.sleepUntil(c.due)
		if p.isDropping(d) {
			p.droppedBytes[d].Store(true)
			continue
		}
		if !p.write(d, to, c.data) {
			writeFailed = true
			p.close()
		}
	}
}

func (p *proxyConn) write(d Direction, to net.Conn, data []byte) bool {
	if p.relay.link.wait(p.relay.ctx, d, len(data)) != nil {
		return false
	}
	n, err := to.Write(data)
	p.relay.bytes[d].Add(int64(n))
	return err == nil
}

// isDropping reports whether bytes of the direction are dropped. After the first dropped byte a connection drops all
// further bytes of that direction.
func (p *proxyConn) isDropping(d Direction) bool {
	return p.blackholed.Load() || p.droppedBytes[d].Load() || p.relay.cut[d].Load()
}

func (p *proxyConn) sleepUntil(due time.Time) {
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
