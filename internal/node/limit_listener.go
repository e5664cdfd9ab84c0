package node

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections, so that callers cannot exhaust the file descriptors. Further
// connections wait in the system's accept backlog.
type limitListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
	// refusing is closed when new connections are refused.
	refusing   chan struct{}
	refuseOnce sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{
		Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{}), refusing: make(chan struct{}),
	}
}

// refuseConnections refuses new connections and keeps the server running, so that it still answers requests on the open
// ones. After http.Server.Shutdown a connection whose request arrives is closed without an answer.
func (l *limitListener) refuseConnections() {
	l.refuseOnce.Do(func() {
		close(l.refusing)
		_ = l.Listener.Close()
	})
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		select {
		case <-l.refusing:
			<-l.done
			return nil, net.ErrClosed
		default:
			return nil, err
		}
	}
	return &limitConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.refuseConnections()
	return nil
}

type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
