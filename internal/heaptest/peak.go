// Package heaptest measures the memory that tests need.
package heaptest

import (
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap.
const sampleInterval = 5 * time.Millisecond

// Peak runs a function and returns by how many bytes the heap grew at most. What was on the heap before does not count: it is
// collected first.
func Peak(run func()) uint64 {
	runtime.GC()
	before := heapBytes()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	peak := before
	for {
		select {
		case <-ended:
			return max(peak, heapBytes()) - before
		case <-time.After(sampleInterval):
			peak = max(peak, heapBytes())
		}
	}
}

func heapBytes() uint64 {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
