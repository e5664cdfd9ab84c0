// Package plainhop is a plain reverse proxy that decides nothing. Measurements compare the fleet with it.
package plainhop

import (
	"io"
	"net/http"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// maxIdleConns exceeds the number of concurrent callers in a measurement, so that each keeps its connection.
const maxIdleConns = 128

// verdictHeader marks a response as complete for the clients of the measurements.
const verdictHeader = "Sardinereach-Verdict"

// Hop forwards each request to the next address and copies the response.
type Hop struct {
	next      string
	transport *http.Transport
}

// New returns a hop that forwards to the address next (host:port).
func New(next string) *Hop {
	return &Hop{next: next, transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
}

// Close closes the idle connections to the next address.
func (h *Hop) Close() { h.transport.CloseIdleConnections() }

// ServeHTTP implements http.Handler.
func (h *Hop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+h.next+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.ContentLength = r.ContentLength
	out.Header = r.Header
	response, err := h.transport.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(verdictHeader, verdict.Ran.String())
	w.WriteHeader(response.StatusCode)
	// A failure shows to the caller as a response that is too short.
	_, _ = io.Copy(w, response.Body)
}
