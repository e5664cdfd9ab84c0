package fakestore

import (
	"encoding/json"
	"net/http"
)

// ControlHandler returns the HTTP handler that injects faults into s:
//
//	GET  /faults   the current Faults as JSON
//	PUT  /faults   replace them with the Faults in the body
//	POST /lapse    end all leases
//	POST /compact  compact all changes so far
//	GET  /counts   the number of calls by kind
func ControlHandler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) { putFaults(s, w, r) })
	mux.HandleFunc("POST /lapse", func(http.ResponseWriter, *http.Request) { s.LapseLeases() })
	mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

func putFaults(s *Store, w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
