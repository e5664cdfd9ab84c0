package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against connections in the accept backlog that are reset, with the requests sent on them, when a stopping node refuses
// new connections.
func TestConnectionsInTheBacklogAreServedWhenNewOnesAreRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := newLimitListener(listener, 8)
	const waiting = 3
	var callers []net.Conn
	for range waiting {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, caller)
	}
	limited.refuseConnections()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limited) }()
	for _, caller := range callers {
		_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatalf("a connection in the backlog got no answer: %v", err)
		}
		_ = response.Body.Close()
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		late, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			break
		}
		_ = late.Close()
		if time.Now().After(end) {
			t.Fatal("new connections are still accepted")
		}
	}
	_ = server.Close()
	<-ended
}
