package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
)

// finalHead is the head of an answer without a length.
const finalHead = "HTTP/1.1 200 OK\r\n\r\n"

// resetConn is a connection whose reset is reported to a write. The read sees the end while the write is still running.
type resetConn struct {
	net.Conn
	writing chan struct{}
	ended   chan struct{}
}

// Write implements net.Conn.
func (c *resetConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.ended
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *resetConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against an orderly end that a read sees before the write with the error of the connection has returned.
func TestEndDuringAFailingWriteIsTheErrorOfTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &resetConn{writing: make(chan struct{}), ended: make(chan struct{})}
		c := &conn{Conn: inner}
		c.head.read([]byte(finalHead))
		go func() { _, _ = c.Write([]byte("request")) }()
		<-inner.writing
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		close(inner.ended)
		if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("first read: %v, want %v", err, syscall.ECONNRESET)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("second read: %v, want %v", err, syscall.ECONNRESET)
		}
	})
}

// blockedConn is a connection whose writes run until it is closed and whose other side has ended its stream.
type blockedConn struct {
	net.Conn
	writing chan struct{}
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *blockedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, net.ErrClosed
}

// Read implements net.Conn.
func (c *blockedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements net.Conn.
func (c *blockedConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a read that waits for a write beyond the end of the connection.
func TestReadEndsWithTheConnectionWhileAWriteRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &blockedConn{writing: make(chan struct{}), closed: make(chan struct{})}
		c := &conn{Conn: inner}
		c.head.read([]byte(finalHead))
		go func() { _, _ = c.Write([]byte("request")) }()
		<-inner.writing
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		if len(read) > 0 {
			t.Error("the read has ended before the write")
		}
		_ = c.Close()
		if err := <-read; !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v, want %v", err, net.ErrClosed)
		}
	})
}

// Guards against a connection that ends before the head of the answer and counts as lost only when the write ends.
func TestEndBeforeTheHeadIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &blockedConn{writing: make(chan struct{}), closed: make(chan struct{})}
		c := &conn{Conn: inner}
		go func() { _, _ = c.Write([]byte("request")) }()
		<-inner.writing
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("error %v, want %v", err, io.EOF)
		}
		_ = c.Close()
	})
}
