// Package endlesstest helps tests of peers that send bytes without an end, or that end within a message.
package endlesstest

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of the heap.
const sampleInterval = 5 * time.Millisecond

// CheckHeap makes a call the given number of times side by side, and fails the test if the heap grows by more than maxBytes
// meanwhile. What was on the heap before does not count: it is collected first.
func CheckHeap(t testing.TB, maxBytes uint64, calls int, call func()) {
	t.Helper()
	runtime.GC()
	before := heapBytes()
	var callers sync.WaitGroup
	for range calls {
		callers.Go(call)
	}
	ended := make(chan struct{})
	go func() {
		callers.Wait()
		close(ended)
	}()
	growth := max(largestHeap(ended), before) - before
	t.Logf("the heap grew by %d MiB", growth>>20)
	if growth > maxBytes {
		t.Errorf("the heap grew by %d bytes, want at most %d", growth, maxBytes)
	}
}

// largestHeap returns the largest size of the heap, in bytes, until ended is closed.
func largestHeap(ended <-chan struct{}) uint64 {
	largest := uint64(0)
	for {
		largest = max(largest, heapBytes())
		select {
		case <-ended:
			return max(largest, heapBytes())
		case <-time.After(sampleInterval):
		}
	}
}

func heapBytes() uint64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
