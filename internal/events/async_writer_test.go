package events

import (
	"bytes"
	"strings"
	"testing"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *stuckWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.written.Write(line)
}

// Guards against a log that blocks requests while its reader is stuck, and against lines that are dropped without being
// counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	stuck := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(stuck)
	for range 2 * asyncBufferLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(stuck.release)
	w.Close()
	text := stuck.written.String()
	lines := strings.Count(text, "line\n")
	if lines < asyncBufferLines || lines > asyncBufferLines+1 || !strings.Contains(text, "log lines dropped: ") {
		t.Errorf("%d lines written with a buffer of %d: %.80q", lines, asyncBufferLines, text)
	}
}
