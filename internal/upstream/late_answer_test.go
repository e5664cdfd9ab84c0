package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
)

// withoutEcho returns the own dialect for upstreams of which no response shows the request that it belongs to.
func withoutEcho() dialect.Upstream {
	names := dialect.OwnUpstream()
	names.EchoHeader, names.EchoOptional = "", false
	return names
}

// bodySink keeps the body of a response.
type bodySink struct {
	bytes.Buffer
}

func (s *bodySink) Head(*peerv1.AnswerHead) error { return nil }

func (s *bodySink) Body(piece []byte) error {
	_, err := s.Write(piece)
	return err
}

// repeatingServer answers each request with its path. Once a connection carries a second request, it first sends the answer before
// once more. With echoes it echoes the attempt IDs, but only in the first answers of each connection if stops is set.
func repeatingServer(t *testing.T, echoes, stops bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		last := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			echo := ""
			if echoes && !(stops && last != "") {
				echo = "Sardinereach-Attempt: " + request.Header.Get("Sardinereach-Attempt") + "\r\n"
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(request.URL.Path), request.URL.Path)
			if _, err := fmt.Fprint(c, last, answer); err != nil {
				return
			}
			last = answer
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// Guards against handing a second copy of an answer, which the upstream sends late on a connection that is in use again, to the
// caller of the next request.
func TestLateSecondCopyOfAnAnswerIsNotUsed(t *testing.T) {
	for name, server := range map[string]struct{ echoes, stops bool }{
		"echo": {true, false}, "no echo": {false, false}, "echo at times": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			address := repeatingServer(t, server.echoes, server.stops)
			client := NewClient(1<<20, dialect.OwnUpstream())
			defer client.Close()
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() {
					for i := range 50 {
						path := fmt.Sprintf("/%d/%d", caller, i)
						sink := new(bodySink)
						head := &peerv1.ForwardHead{Attempt: "n.1." + path, Method: http.MethodGet, Uri: path, Idempotent: true}
						if r := client.Run(t.Context(), address, head, nil, sink); r.Outcome == Answered && sink.String() != path {
							t.Errorf("the answer to %s is that to %s", path, sink.String())
						}
					}
				})
			}
			callers.Wait()
		})
	}
}
