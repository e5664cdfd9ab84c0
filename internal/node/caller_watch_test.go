package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/callerconn"
	"github.com/sardinereach/sardinereach/internal/declaration"
)

// serveCallers serves the acceptor as the node does and returns the address.
func serveCallers(t testing.TB, a *acceptor) string {
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

// Guards against a response that breaks off halfway and that an HTTP/1.0 caller, which may receive neither a length nor chunks,
// takes for a complete one.
func TestBrokenResponseIsNotCompleteForHTTP10(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			a, _ := startAcceptor(t)
			piece := strings.Repeat("x", 2*idempotentBufferBytes)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(piece), piece)
			addTarget(t, a, &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}, answerOnce(t, answer))
			res, err := roundTrip(t, serveCallers(t, a), "GET /s HTTP/"+version+"\r\nHost: h\r\n\r\n")
			if err != nil {
				return
			}
			defer res.Body.Close()
			if n, err := io.Copy(io.Discard, res.Body); err == nil {
				t.Errorf("status %d with %d bytes was received as complete", res.StatusCode, n)
			}
		})
	}
}
