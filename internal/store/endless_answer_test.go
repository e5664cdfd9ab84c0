package store

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

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
			s := Dial(endlesstest.Serve(t, answer.start, answer.piece), nil)
			endlesstest.CheckHeap(t, maxHeapBytes, calls, func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				if _, _, err := s.List(ctx, "config/"); err == nil {
					t.Error("the answer was taken for a complete one")
				}
			})
		})
	}
}
