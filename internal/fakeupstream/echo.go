package fakeupstream

import (
	"io"
	"net/http"
)

// maxEchoBytes is the number of bytes that /echo and operations read of a body. They ignore the rest.
const maxEchoBytes = 8 << 20

// handleEcho responds with the request's body.
func (s *Server) handleEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxEchoBytes))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	if !s.perform(w, r) {
		return
	}
	_, _ = w.Write(body)
}
