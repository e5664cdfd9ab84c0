package peer

import "net"

// countingConn tells the bytes that pass to the metrics.
type countingConn struct {
	net.Conn
	address string
	purpose string
	count   func(address, purpose string, sent bool, bytes int)
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(c.address, c.purpose, false, n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(c.address, c.purpose, true, n)
	return n, err
}
