package node

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

// maxEndlessHeapBytes is far above the buffers of the requests of the test, and far below what their targets send.
const maxEndlessHeapBytes = 64 << 20

// Guards against an answer without an end that a caller receives as complete, that keeps its slot beyond the deadline, or that
// is collected in the memory of the node.
func TestEndlessAnswerEndsAtTheDeadline(t *testing.T) {
	piece := strings.Repeat("x", 32<<10)
	for name, start := range map[string]string{
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n",
		"head":   "HTTP/1.1 200 OK\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			a, address := startAcceptor(t)
			service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}
			if name == "chunks" {
				addTarget(t, a, service, endlesstest.Serve(t, start, "8000\r\n"+piece+"\r\n"))
			} else {
				addTarget(t, a, service, endlesstest.Serve(t, start, piece))
			}
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nSardinereach-Timeout-Ms: 1000\r\n\r\n")
					if err != nil {
						t.Error(err)
						return
					}
					_, err = io.Copy(io.Discard, res.Body)
					if res.StatusCode == http.StatusOK && err == nil {
						t.Error("the answer was received as complete")
					}
				})
			}
			ended := make(chan struct{})
			go func() {
				callers.Wait()
				close(ended)
			}()
			largest := largestHeap(ended)
			if largest > maxEndlessHeapBytes {
				t.Errorf("%d bytes on the heap", largest)
			}
			for a.inFlight.Load() != 0 || a.admitter.inFlight() != 0 {
				time.Sleep(time.Millisecond)
			}
			t.Logf("at most %d bytes on the heap", largest)
		})
	}
}

// largestHeap returns the largest size of the heap, in bytes, until ended is closed.
func largestHeap(ended <-chan struct{}) uint64 {
	var memory runtime.MemStats
	largest := uint64(0)
	for {
		select {
		case <-ended:
			return largest
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&memory)
			largest = max(largest, memory.HeapAlloc)
		}
	}
}
