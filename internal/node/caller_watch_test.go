package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/callerconn"
)

// serveCallers serves the acceptor as the node does and returns the address.
func serveCallers(t *testing.T, a *acceptor) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: a, ConnContext: callerconn.WithConn}
	go func() { _ = server.Serve(newLimitListener(listener, 100)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against a run that nobody waits for because bytes of a pipelined request hide the close of the connection.
func TestRunEndsWhenCallerOfPipelinedRequestsCloses(t *testing.T) {
	target, other := newBlockingTarget(t, "one"), newBlockingTarget(t, "two")
	a, _ := startHedging(t, target, other)
	address := serveCallers(t, a)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	request := "GET /s HTTP/1.1\r\nHost: h\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	for target.runs.Load()+other.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	_ = c.Close()
	for end := time.Now().Add(10 * time.Second); a.inFlight.Load() > 0 || a.admitter.inFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests are still in flight", a.inFlight.Load())
		}
	}
}
