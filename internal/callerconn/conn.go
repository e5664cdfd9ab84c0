package callerconn

import (
	"net"
	"sync"
	"time"
)

// Conn is a caller's connection. Its methods may be called by several goroutines at the same time.
type Conn struct {
	net.Conn
	// onClosed is called once when the connection is closed for good.
	onClosed func()

	mu      sync.Mutex
	closing bool
}

// New returns the connection c. onClosed is called when it is closed for good; it may be nil.
func New(c net.Conn, onClosed func()) *Conn {
	return &Conn{Conn: c, onClosed: onClosed}
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

// Close closes the connection. It returns at once. The rest of what it sends is read
// and dropped for up to lingerTimeout: closing a connection with unread bytes would reset it, and the caller might lose the
// last response.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	c.closing = true
	if c.CloseWrite() != nil {
		return c.closeNow()
	}
	go c.linger()
	return nil
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
