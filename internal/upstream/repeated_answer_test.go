package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
)

// echoDialect returns a dialect whose upstreams echo the request ID.
func echoDialect() dialect.Upstream {
	return dialect.Upstream{NotRunHeader: "Not-Run", EchoHeader: "Request-Id"}
}

// runWithID sends an idempotent request with the given request ID.
func runWithID(t *testing.T, c *Client, address, id string) Result {
	t.Helper()
	return run(t, c, address, true, &peerv1.Header{Name: "Request-Id", Value: id})
}

// refusalFor returns a refusal in both dialects that echoes the request ID.
func refusalFor(id string) string {
	return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nSardinereach-Not-Run: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// Guards against reporting a request as not run because of an earlier refusal that its upstream wrote once more on the
// same connection, in place of the answer: with the same ID (a retry), with that of another request, or with none.
func TestRepeatedRefusalIsNoRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		names    dialect.Upstream
		secondID string
	}{
		"retry of the same request": {echoDialect(), "first"},
		"another request":           {echoDialect(), "second"},
		"upstream without echo":     {withoutEcho(), "second"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := connServer(t, func(n int, c net.Conn) bool {
				// The second request on a connection is run, and answered with the refusal of the first.
				_, err := c.Write([]byte(refusalFor("first")))
				return err == nil && n < 2
			})
			client := NewClient(1<<20, c.names)
			defer client.Close()
			if r := runWithID(t, client, address, "first"); r.Outcome != Shed {
				t.Fatalf("first request: %s %v", r.Outcome, r.Err)
			}
			r := runWithID(t, client, address, c.secondID)
			if r.Outcome == Shed && r.Reused {
				t.Errorf("a repeated refusal was taken for the refusal of the next request")
			}
		})
	}
}

// connServer calls handle for each request with the number of the request on its connection. It counts the connections.
func connServer(t *testing.T, handle func(n int, c net.Conn) (keepOpen bool)) (string, *atomic.Int32) {
	t.Helper()
	var mu sync.Mutex
	numbers := make(map[net.Conn]int)
	connections := new(atomic.Int32)
	address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
		mu.Lock()
		numbers[c]++
		n := numbers[c]
		mu.Unlock()
		if n == 1 {
			connections.Add(1)
		}
		return handle(n, c)
	})
	return address, connections
}

// Guards against a refusal that stands behind the refusal of an earlier request, in the same packet, being taken for the
// answer to the next request, however soon that request is sent.
func TestSecondRefusalBehindARefusal(t *testing.T) {
	for name, names := range map[string]dialect.Upstream{"echo": echoDialect(), "no echo": withoutEcho()} {
		t.Run(name, func(t *testing.T) {
			var repeated atomic.Int32
			address, _ := connServer(t, func(n int, c net.Conn) bool {
				if n > 1 {
					repeated.Add(1)
					return false
				}
				_, err := c.Write([]byte(refusalFor("same") + refusalFor("same")))
				return err == nil
			})
			client := NewClient(1<<20, names)
			defer client.Close()
			for range 200 {
				r := runWithID(t, client, address, "same")
				if r.Outcome == Shed && r.Reused {
					t.Fatal("a second refusal on a connection was taken for the refusal of the next request")
				}
			}
			if repeated.Load() > 0 {
				t.Errorf("%d requests were sent on connections that had carried a refusal", repeated.Load())
			}
		})
	}
}

// Guards against handing a second answer that stands behind the first to the caller of the next request.
func TestSecondAnswerBehindAnAnswer(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n"
	for name, behind := range map[string]string{
		"a second answer":            first + second,
		"more bytes than the length": first + "xxxx" + second,
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := connServer(t, func(_ int, c net.Conn) bool {
				_, err := c.Write([]byte(behind))
				return err == nil
			})
			client := NewClient(1<<20, withoutEcho())
			defer client.Close()
			for range 200 {
				if r := run(t, client, address, true); r.Outcome == Answered && r.Status != http.StatusOK {
					t.Fatalf("the request was answered with status %d of an earlier answer", r.Status)
				}
			}
		})
	}
}

// Guards against taking a refusal that an upstream wrote before it received a request for the refusal of that request.
func TestRefusalBeforeTheRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			fmt.Fprint(c, refusalFor("other"))
			defer c.Close()
		}
	}()
	client := NewClient(1<<20, echoDialect())
	defer client.Close()
	for range 50 {
		header := &peerv1.Header{Name: "Request-Id", Value: "mine"}
		if r := run(t, client, listener.Addr().String(), false, header); r.Outcome == Shed {
			t.Fatal("a refusal that was written before the request counts as its refusal")
		}
	}
}

// Guards against sending further requests on a connection that delivered the answer to another request.
func TestConnectionOfAForeignAnswerIsClosed(t *testing.T) {
	address, connections := connServer(t, func(_ int, c net.Conn) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	client := NewClient(1<<20, echoDialect())
	defer client.Close()
	const requests = 20
	for range requests {
		if r := runWithID(t, client, address, "mine"); r.Outcome != Lost || r.Reused {
			t.Fatalf("outcome %s, reused %v; want lost on a new connection", r.Outcome, r.Reused)
		}
	}
	if n := connections.Load(); n != requests {
		t.Errorf("%d connections for %d requests", n, requests)
	}
}

// Guards against losing a request because it obtained the connection of a refusal just before that connection was closed.
func TestRequestsBesideRefusalsAreNotLost(t *testing.T) {
	address, _ := connServer(t, func(_ int, c net.Conn) bool {
		_, err := c.Write([]byte(refusalFor("any")))
		return err == nil
	})
	client := NewClient(1<<20, withoutEcho())
	defer client.Close()
	head := &peerv1.ForwardHead{Method: http.MethodGet, Uri: "/", Idempotent: true}
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for range 50 {
				if r := client.Run(t.Context(), address, head, []byte("body"), new(discardSink)); r.Outcome != Shed {
					t.Errorf("outcome %s: %v; want %s", r.Outcome, r.Err, Shed)
				}
			}
		})
	}
	callers.Wait()
}
