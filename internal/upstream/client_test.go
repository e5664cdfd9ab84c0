package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

type discardSink struct{ bytes int }

func (s *discardSink) Head(*peerv1.AnswerHead) error { return nil }

func (s *discardSink) Body(p []byte) error {
	s.bytes += len(p)
	return nil
}

// rawServer calls handle for each request that it reads, and counts the requests.
func rawServer(t *testing.T, handle func(n int32, c net.Conn) (keepOpen bool)) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests := new(atomic.Int32)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if !handle(requests.Add(1), c) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func run(t *testing.T, c *Client, address string, idempotent bool, headers ...*peerv1.Header) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	method := http.MethodPost
	if idempotent {
		method = http.MethodGet
	}
	head := &peerv1.ForwardHead{Attempt: "a", Method: method, Uri: "/", Idempotent: idempotent, Headers: headers}
	return c.Run(ctx, address, head, nil, new(discardSink))
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against http.Transport retrying a non-idempotent request itself. It does so for requests with an
// Idempotency-Key header when a reused connection fails before the response.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	address, requests := rawServer(t, func(n int32, c net.Conn) bool {
		if n == 1 {
			_, err := c.Write([]byte(okAnswer))
			return err == nil
		}
		return false
	})
	client := NewClient(1<<20, withoutEcho())
	defer client.Close()
	if r := run(t, client, address, true); r.Outcome != Answered {
		t.Fatalf("first request: %s %v", r.Outcome, r.Err)
	}
	r := run(t, client, address, false, &peerv1.Header{Name: "Idempotency-Key", Value: "k"})
	if r.Outcome != Lost {
		t.Errorf("outcome %s, want %s", r.Outcome, Lost)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("the upstream read %d requests, want 2", n)
	}
}

// Guards against forwarding a truncated response as complete, and against accepting a response whose end is not marked.
func TestTruncatedResponsesAreIncomplete(t *testing.T) {
	for name, answer := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunks without an end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"ended by close":          "HTTP/1.1 200 OK\r\n\r\nok",
	} {
		address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
			c.Write([]byte(answer))
			return false
		})
		client := NewClient(1<<20, withoutEcho())
		if r := run(t, client, address, true); r.Outcome != Incomplete {
			t.Errorf("%s: outcome %s, want %s", name, r.Outcome, Incomplete)
		}
		client.Close()
	}
}

// Guards against classifying a request that was never sent as one that may have run, and the reverse.
func TestOutcomeOfFailuresBeforeTheResponse(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	client := NewClient(1<<20, withoutEcho())
	defer client.Close()
	if r := run(t, client, closed.Addr().String(), false); r.Outcome != Unreachable {
		t.Errorf("refused connection: outcome %s, want %s", r.Outcome, Unreachable)
	}
	address, _ := rawServer(t, func(int32, net.Conn) bool { return false })
	if r := run(t, client, address, false); r.Outcome != Lost {
		t.Errorf("connection closed before the response: outcome %s, want %s", r.Outcome, Lost)
	}
	shedding, _ := rawServer(t, func(_ int32, c net.Conn) bool {
		c.Write([]byte("HTTP/1.1 503 Busy\r\nSardinereach-Not-Run: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"))
		return false
	})
	if r := run(t, client, shedding, false); r.Outcome != Shed || r.RetryAfter != 2*time.Second {
		t.Errorf("shed request: outcome %s, wait %s", r.Outcome, r.RetryAfter)
	}
}

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for value, want := range map[string]time.Duration{
		"": 0, "x": 0, "-1": 0, "30": 30 * time.Second,
		"Fri, 04 Dec 2026 10:00:05 GMT": 5 * time.Second,
		"Fri, 04 Dec 2026 09:00:00 GMT": 0,
	} {
		if got := ParseRetryAfter(value, now); got != want {
			t.Errorf("%q: got %s, want %s", value, got, want)
		}
	}
}
