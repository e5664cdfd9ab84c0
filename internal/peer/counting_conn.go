package peer

import "net"

// countingConn reports the number of bytes read and written, for the metrics.
type countingConn struct {
	net.Conn
	address string
	purpose string
	onBytes func(address, purpose string, sent bool, bytes int)
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.onBytes(c.address, c.purpose, false, n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.onBytes(c.address, c.purpose, true, n)
	return n, err
}
