package fakeupstream

import (
	"encoding/json"
	"io"
	"net/http"
)

// OperationAnswer is the body of the response to an operation.
type OperationAnswer struct {
	Run
	// Request is the token that the client sent in HeaderRequest.
	Request string `json:"request"`
}

// operationBody is the part of a request's body that the fake upstream reads.
type operationBody struct {
	Operation string `json:"operation"`
}

// handleOperation records the run before any work is done, does the work, and responds with an OperationAnswer.
func (s *Server) handleOperation(w http.ResponseWriter, r *http.Request) {
	name, ok := operationName(r)
	if !ok {
		http.Error(w, "no operation in header or body", http.StatusBadRequest)
		return
	}
	run, err := s.runs.record(Run{
		Operation: name,
		Attempt:   r.Header.Get(HeaderAttempt),
		Target:    s.config.Target,
		Method:    r.Method,
		Path:      r.URL.Path,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !s.perform(w, r) {
		return
	}
	writeJSON(w, OperationAnswer{Run: run, Request: r.Header.Get(HeaderRequest)})
}

// operationName returns the operation from HeaderOperation or the JSON body.
func operationName(r *http.Request) (string, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxEchoBytes))
	if err != nil {
		return "", false
	}
	if name := r.Header.Get(HeaderOperation); name != "" {
		return name, true
	}
	var body operationBody
	if err := json.Unmarshal(data, &body); err != nil {
		return "", false
	}
	return body.Operation, body.Operation != ""
}
