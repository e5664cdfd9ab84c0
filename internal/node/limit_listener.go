package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/callerconn"
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
	// open is the number of connections that are not closed yet, those that only wait for their callers to close included.
	open atomic.Int64
	// backlogUntil is the time until which the backlog is accepted. Only Accept uses it.
	backlogUntil time.Time
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{
		Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{}), refusing: make(chan struct{}),
	}
}

// refuseConnections refuses new connections and keeps the server running, so that it still answers requests on the open
// ones. After http.Server.Shutdown a connection whose request arrives is closed without an answer. Connections that wait in the
// accept backlog are accepted first: closing the listener would reset them.
func (l *limitListener) refuseConnections() {
	l.refuseOnce.Do(func() {
		close(l.refusing)
		if d, ok := l.Listener.(deadlineListener); ok {
			// Ends a pending Accept.
			_ = d.SetDeadline(time.Now())
			return
		}
		_ = l.Listener.Close()
	})
}

// deadlineListener is a listener whose Accept has a time limit.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

const (
	// backlogTime is the time in which the accept backlog is emptied. New connections may keep arriving.
	backlogTime = 100 * time.Millisecond
	// backlogWait is the time limit of an Accept that takes a connection from the backlog, which does not wait for one.
	backlogWait = 20 * time.Millisecond
)

// acceptBacklog returns the next connection of the accept backlog, and closes the listener when there is none.
func (l *limitListener) acceptBacklog() (net.Conn, error) {
	if l.backlogUntil.IsZero() {
		l.backlogUntil = time.Now().Add(backlogTime)
	}
	if d, ok := l.Listener.(deadlineListener); ok && time.Now().Before(l.backlogUntil) {
		_ = d.SetDeadline(time.Now().Add(backlogWait))
		if c, err := l.Listener.Accept(); err == nil {
			return c, nil
		}
	}
	_ = l.Listener.Close()
	<-l.done
	return nil, net.ErrClosed
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.open.Add(1)
	return callerconn.New(c, func() {
		l.open.Add(-1)
		<-l.slots
	}), nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.refuseConnections()
	return l.Listener.Close()
}

func (l *limitListener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.refusing:
		return l.acceptBacklog()
	default:
		return nil, err
	}
}
