package store

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/heaptest"
)

// serveEndlessly answers each request with start, followed by piece until the connection is closed.
func serveEndlessly(t *testing.T, start, piece string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = io.WriteString(c, piece)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against answers without an end, in a head or a body, that a node collects in its memory until it has none left.
func TestEndlessAnswersOfTheStoreDoNotFillTheMemory(t *testing.T) {
	// A node has 128 MB for control.
	const maxHeapBytes, calls, timeout = 96 << 20, 4, 3 * time.Second
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	piece := strings.Repeat("x", 32<<10)
	for name, answer := range map[string]struct{ start, piece string }{
		"head":             {"HTTP/1.1 200 OK\r\nA: ", piece},
		"head lines":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1000)},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + piece + "\r\n"},
		"body until close": {head + "\r\n", piece},
		"length":           {head + "Content-Length: 1000000000000000\r\n\r\n", piece},
		"error":            {"HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\n\r\n", piece},
	} {
		t.Run(name, func(t *testing.T) {
			s := Dial(serveEndlessly(t, answer.start, answer.piece), nil)
			peak := heaptest.Peak(func() {
				var callers sync.WaitGroup
				for range calls {
					callers.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), timeout)
						defer cancel()
						if _, _, err := s.List(ctx, "config/"); err == nil {
							t.Error("the answer was taken for a complete one")
						}
					})
				}
				callers.Wait()
			})
			t.Logf("%d MiB", peak>>20)
			if peak > maxHeapBytes {
				t.Errorf("the heap grew by %d bytes, want at most %d", peak, maxHeapBytes)
			}
		})
	}
}
