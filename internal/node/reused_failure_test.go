package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// answerTwice answers the first request on each connection, and the second one with raw bytes and a close.
func answerTwice(t *testing.T, second string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", second} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					io.WriteString(c, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a target whose wrong bytes count as no failure because they came on a connection that was used before,
// and against counting a connection that the target closed while it was idle.
func TestWrongBytesOnAReusedConnectionAreFailures(t *testing.T) {
	for name, c := range map[string]struct {
		second string
		failed bool
	}{
		"no answer":          {"this is not HTTP\r\n\r\n", true},
		"truncated head":     {"HTTP/1.1 200 O", true},
		"truncated body":     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx", true},
		"chunks without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", true},
		"informational head": {"HTTP/1.1 102 Processing\r\n\r\n", true},
		"closed while idle":  {"", false},
	} {
		address := answerTwice(t, c.second)
		names := dialect.OwnUpstream()
		// Connections of upstreams that echo no attempt IDs are not used again otherwise.
		names.EchoHeader, names.EchoOptional = "", false
		client := upstream.NewClient(1<<20, names)
		// A body keeps http.Transport from sending the request again itself.
		head := &peerv1.ForwardHead{Method: http.MethodPut, Uri: "/", Idempotent: true}
		var result upstream.Result
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			result = client.Run(ctx, address, head, []byte("body"), newDelivery(nil, idempotentBufferBytes))
			cancel()
		}
		if !result.Reused {
			t.Fatalf("%s: the second request did not reuse the connection", name)
		}
		if got := new(detection).isFailure(observation{result: result}); got != c.failed {
			t.Errorf("%s: outcome %s, %v; counted as a failure: %v, want %v", name, result.Outcome, result.Err, got, c.failed)
		}
		client.Close()
	}
}
