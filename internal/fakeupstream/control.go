package fakeupstream

import (
	"encoding/json"
	"net/http"
)

// controlHandler serves the control requests of tests: GET /status, GET /runs, PUT /faults and POST /drain. With
// /drain?hold=1 the upstream stays in phase draining and does not exit.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.handleStatus)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	mux.HandleFunc("POST /drain", s.handleDrain)
	return mux
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.counters.snapshot())
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.runs.all())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := faults.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(faults)
	writeJSON(w, faults)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	s.Drain(r.URL.Query().Get("hold") == "")
	writeJSON(w, s.counters.snapshot())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
