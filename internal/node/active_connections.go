package node

import (
	"net"
	"net/http"
	"sync"
)

// activeConnections counts the connections of a server on which a request is read or answered.
type activeConnections struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
}

func newActiveConnections() *activeConnections {
	return &activeConnections{active: map[net.Conn]struct{}{}}
}

// record is the ConnState function of the server.
func (a *activeConnections) record(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		a.active[c] = struct{}{}
		return
	}
	delete(a.active, c)
}

func (a *activeConnections) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}
