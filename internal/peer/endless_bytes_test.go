package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

const (
	// endlessConnections is the number of connections on which bytes arrive without an end, endlessPulls that of pulls, of which
	// a node makes a few at a time.
	endlessConnections = 8
	endlessPulls       = 4
	// maxEndlessHeapBytes is far below the memory of a node.
	maxEndlessHeapBytes = 64 << 20
	endlessTimeout      = 2 * time.Second
)

// endlessPieces are bytes that a reader of frames takes for the beginning of a message or for none.
var endlessPieces = map[string]string{
	"frames of one message": strings.Repeat("x", 64<<10),
	"zero bytes":            strings.Repeat("\x00", 64<<10),
	"long number":           strings.Repeat("\xff", 64<<10),
	"text":                  strings.Repeat("HTTP/1.1 200 OK\r\n", 4<<10),
}

// Guards against a node that collects what a peer sends without an end until it has no memory left.
func TestEndlessBytesOfAPeerDoNotFillTheMemory(t *testing.T) {
	for name, piece := range endlessPieces {
		t.Run(name, func(t *testing.T) {
			address := endlesstest.Listen(t, func(c net.Conn) { endlesstest.Write(c, piece) })
			client := NewClient("caller", Options{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*endlessTimeout)
			defer cancel()
			endlesstest.CheckHeap(t, maxEndlessHeapBytes, endlessPulls, func() {
				if _, err := client.Pull(ctx, address, &peerv1.PullRequest{}); err == nil {
					t.Error("the bytes were taken for a response to a pull")
				}
			})
			head := &peerv1.ForwardHead{Attempt: "a", Idempotent: true, TimeoutMs: endlessTimeout.Milliseconds()}
			endlesstest.CheckHeap(t, maxEndlessHeapBytes, endlessConnections, func() {
				if trailer, err := client.Forward(ctx, address, head, nil, new(bufferSink)); err == nil {
					t.Errorf("the bytes were taken for a response to a request: %v", trailer)
				}
			})
		})
	}
}

// Guards against a node that collects what a caller sends to its peer listener without an end until it has no memory left.
func TestEndlessBytesOfACallerDoNotFillTheMemory(t *testing.T) {
	for name, piece := range endlessPieces {
		t.Run(name, func(t *testing.T) {
			listener, _ := serve(t, &echoHandler{run: echo}, Options{})
			endlesstest.CheckHeap(t, maxEndlessHeapBytes, endlessConnections, func() {
				c, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(endlessTimeout))
				endlesstest.Write(c, piece)
			})
		})
	}
}
