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
	case http.StateHijacked:
		c.forgetState()
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

// forgetState is called when the server reports no further state: the handler closes the connection itself.
func (c *Conn) forgetState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateKnown, c.finishing = false, false
}

func (c *Conn) responseSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = false
}
