package callerconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrCallerClosed is the cause of the end of a request whose caller has closed or reset the connection.
var ErrCallerClosed = errors.New("callerconn: the caller has closed the connection")

// MaxReadAheadBytes bounds what is read from a connection while a request on it is running. A caller that has sent more is
// read no further, and its close is noticed only when the response is written.
const MaxReadAheadBytes = 4 << 10

// Conn is a caller's connection. Its methods may be called by several goroutines at the same time, Read by one.
type Conn struct {
	net.Conn
	// onClosed is called once when the connection is closed for good.
	onClosed func()

	mu   sync.Mutex
	cond sync.Cond
	// ahead are the bytes that were read ahead and not yet returned by Read.
	ahead []byte
	// readingAhead means that a goroutine reads ahead. Read waits for it.
	readingAhead bool
	// inRead means that Read reads from the connection itself.
	inRead bool
	// cancel ends the running request, nil while none is watched.
	cancel func(cause error)
	// readErr is the error that ended reading, nil while the caller may send more.
	readErr error
	closing bool
	// first is what is known of the head of the first request.
	first firstHead
	// stateKnown means that RecordState is told of the connection's states.
	stateKnown bool
	// finishing means that the handler of a watched request has returned and the server may still hold part of its response.
	finishing bool
}

// New returns the connection c. onClosed is called when it is closed for good; it may be nil.
func New(c net.Conn, onClosed func()) *Conn {
	conn := &Conn{Conn: c, onClosed: onClosed}
	conn.cond.L = &conn.mu
	return conn
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.read(p)
	c.first.read(p[:n])
	return n, err
}

// read is Read without its effect on first. c.mu is held, but not while it waits for the caller.
func (c *Conn) read(p []byte) (int, error) {
	for c.readingAhead && len(c.ahead) == 0 {
		c.cond.Wait()
	}
	if c.closing {
		return 0, net.ErrClosed
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	c.inRead = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.inRead = false
	if c.closing {
		return 0, net.ErrClosed
	}
	c.recordReadError(err)
	c.readAheadIfNeeded()
	return n, err
}

// Watch calls cancel with ErrCallerClosed when the caller closes the connection. It is called once the request and its body
// are read: whatever the caller sends from then on belongs to later requests. On a connection that is closed already it calls
// cancel at once: the request was read in advance and must not run. stop ends the watch.
func (c *Conn) Watch(cancel func(cause error)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	c.finishing = false
	if c.readErr != nil || c.closing {
		cancel(ErrCallerClosed)
		return c.unwatch
	}
	c.readAheadIfNeeded()
	return c.unwatch
}

func (c *Conn) unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
	c.finishing = c.stateKnown
}

// readAheadIfNeeded starts to read ahead if a request is watched and nobody else reads. c.mu is held.
func (c *Conn) readAheadIfNeeded() {
	if c.cancel == nil || c.readingAhead || c.inRead || c.readErr != nil || len(c.ahead) >= MaxReadAheadBytes {
		return
	}
	c.readingAhead = true
	go c.readAhead()
}

// readAheadBuffers avoids allocating a buffer for each request.
var readAheadBuffers = sync.Pool{New: func() any { return new([MaxReadAheadBytes]byte) }}

// readAhead reads until the caller closes, the limit is reached, or the request ends.
func (c *Conn) readAhead() {
	buffer := readAheadBuffers.Get().(*[MaxReadAheadBytes]byte)
	defer readAheadBuffers.Put(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.cancel != nil && len(c.ahead) < MaxReadAheadBytes {
		room := MaxReadAheadBytes - len(c.ahead)
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer[:room])
		c.mu.Lock()
		c.ahead = append(c.ahead, buffer[:n]...)
		c.cond.Broadcast()
		if err != nil {
			c.recordReadError(err)
			break
		}
	}
	c.readingAhead = false
	c.cond.Broadcast()
}

// recordReadError ends the watched request if the caller has closed the connection. What it sent before is dropped: nobody
// waits for the responses. A timeout only ends the read. c.mu is held.
func (c *Conn) recordReadError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr = err
	c.ahead = nil
	if c.cancel != nil {
		c.cancel(ErrCallerClosed)
	}
}

const (
	// lingerTimeout is the time for which a closed connection is still read, so that the caller receives the last response.
	lingerTimeout = 500 * time.Millisecond
	// lingerBufferBytes is the size of the buffer for what is read and dropped meanwhile.
	lingerBufferBytes = 1 << 10
)

// CloseWrite tells the caller that no further response follows.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. It returns at once. From the watch of a request until its response is sent it does nothing: a
// server that stops closes the connections that it takes for idle, and the next request of such a one may have begun. The
// server closes it again when the request has ended.
//
// Unless the caller has closed its side, the rest of what it sends is read and dropped for up to lingerTimeout: closing a
// connection with unread bytes would reset it, and the caller might lose the last response.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.cancel != nil || c.finishing {
		return nil
	}
	c.closing = true
	if c.readErr != nil || c.CloseWrite() != nil {
		return c.closeNow()
	}
	go c.linger()
	return nil
}

// Abort closes the connection with a reset, so that a response that was sent in part is not taken for a complete one.
func (c *Conn) Abort() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	c.closing = true
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has failed already.
		_ = tcp.SetLinger(0)
	}
	return c.closeNow()
}

func (c *Conn) linger() {
	defer c.closeNow()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buffer := make([]byte, lingerBufferBytes)
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	if c.onClosed != nil {
		c.onClosed()
	}
	return err
}
