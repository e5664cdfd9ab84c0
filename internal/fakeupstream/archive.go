package fakeupstream

import (
	"io"
	"net/http"
	"strconv"
)

// handleArchive responds with the Content of the token in HeaderRequest. The query parameter bytes is its size.
func (s *Server) handleArchive(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		size = 0
	}
	if !s.perform(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	s.send(w, r, Content(r.Header.Get(HeaderRequest), size), size)
}

// send writes the content and injects the faults that truncate or stall a body.
func (s *Server) send(w http.ResponseWriter, r *http.Request, content io.Reader, size int64) {
	faults, _ := s.faults.get()
	if cut := faults.TruncateAfterBytes; cut > 0 && cut < size {
		_, _ = io.CopyN(w, content, cut)
		flush(w)
		s.counters.add(func(status *Status) { status.Failed++ })
		// The HTTP server closes the connection on this panic without a stack trace.
		panic(http.ErrAbortHandler)
	}
	if stall := faults.StallAfterBytes; stall > 0 && stall < size {
		_, _ = io.CopyN(w, content, stall)
		flush(w)
		if !s.faults.waitUntil(r.Context().Done(), notStalled) {
			return
		}
	}
	_, _ = io.Copy(w, content)
}

func notStalled(f Faults) bool { return f.StallAfterBytes == 0 }

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
