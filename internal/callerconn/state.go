package callerconn

import (
	"net"
	"net/http"
)

// RecordState is a ConnState function of an http.Server whose listener returns connections of this package. Without it, a
// connection does not know when the server has sent a response, and a server that stops may close it before that.
func RecordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.knowState()
	case http.StateIdle:
		c.responseSent()
	case http.StateClosed:
		c.responseSent()
		// The server has closed the connection before it reports the state.
		_ = c.Close()
	}
}

func (c *Conn) knowState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateKnown = true
}

func (c *Conn) responseSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = false
}
