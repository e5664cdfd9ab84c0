package events

import (
	"fmt"
	"io"
	"sync/atomic"
)

// asyncLines is the number of lines that wait to be written. At 200 bytes a line they take 400 KB.
const asyncLines = 2048

// AsyncWriter passes lines on to another writer without ever blocking. Lines that come while too many wait are dropped,
// and their number is written with the next one.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that passes what it is given on to next.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run(next)
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run(next io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			// The log is the only place that could tell of a failure to write the log.
			_, _ = fmt.Fprintf(next, "log lines dropped: %d\n", dropped)
		}
		_, _ = next.Write(line)
	}
}

// Close writes what waits and returns when it is written. Nothing may be written after it.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}
