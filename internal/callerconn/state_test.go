package callerconn

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a hijacked connection that is never closed.
func TestHijackedConnectionCloses(t *testing.T) {
	server, caller := net.Pipe()
	defer caller.Close()
	closed := make(chan struct{})
	conn := New(server, func() { close(closed) })
	RecordState(conn, http.StateNew)
	stop := conn.Watch(func(error) {})
	RecordState(conn, http.StateHijacked)
	stop()
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(10 * lingerTimeout):
		t.Error("the connection is still open")
	}
}
