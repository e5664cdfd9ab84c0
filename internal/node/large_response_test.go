package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// largeBytes is the size of a response that is far larger than all buffers.
const largeBytes = 32 << 20

func getSized(address string, query string) (int64, error) {
	res, err := http.Get(fmt.Sprintf("http://%s/s?%s", address, query))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s", res.Status)
	}
	return n, err
}

// Guards against responses that are collected in the memory of a node, on both hops.
func TestLargeResponsesAreStreamed(t *testing.T) {
	_, address := startTwoHops(t, startSizedUpstream(t))
	for _, query := range []string{"bytes=%d", "bytes=%d&chunks=1"} {
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				if n, err := getSized(address, fmt.Sprintf(query, largeBytes)); err != nil || n != largeBytes {
					t.Errorf("%s: %d bytes, %v", query, n, err)
				}
			})
		}
		ended := make(chan struct{})
		go func() {
			callers.Wait()
			close(ended)
		}()
		if largest := largestHeap(ended); largest > largeBytes {
			t.Errorf("%s: %d bytes on the heap while 4 responses of %d bytes pass", query, largest, largeBytes)
		}
	}
}

// Guards against a caller that reads slowly and delays the responses of other callers, which pass the same two nodes.
func TestSlowCallerDelaysOnlyItself(t *testing.T) {
	a, address := startTwoHops(t, startSizedUpstream(t))
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if _, err := io.WriteString(slow, fmt.Sprintf("GET /s?bytes=%d HTTP/1.1\r\nHost: h\r\n\r\n", largeBytes)); err != nil {
		t.Fatal(err)
	}
	for a.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		if n, err := getSized(address, "bytes=100000"); err != nil || n != 100000 {
			t.Fatalf("another caller: %d bytes, %v", n, err)
		}
	}
	if a.inFlight.Load() == 0 {
		t.Error("the response to the slow caller has ended")
	}
	if n, err := io.CopyN(io.Discard, slow, largeBytes); err != nil {
		t.Errorf("the slow caller received %d bytes, %v", n, err)
	}
}

// Guards against a response that breaks off on the way through two nodes and that its caller takes for a complete one.
func TestBrokenResponseIsNotComplete(t *testing.T) {
	_, address := startTwoHops(t, startSizedUpstream(t))
	for _, size := range []int{10, idempotentBufferBytes, 2*idempotentBufferBytes - 2, 2 * idempotentBufferBytes, 1 << 20} {
		for _, chunks := range []int{0, 1} {
			if n, err := getSized(address, fmt.Sprintf("bytes=%d&chunks=%d&cut=1", size, chunks)); err == nil {
				t.Errorf("%d bytes of a response of %d, chunks %d, were received as complete", n, size, chunks)
			}
		}
	}
}
