// Package peer implements the protocol between nodes over drpc: a client with a connection pool per peer, and a server.
//
// A drpc connection carries one call at a time. A connection that was idle is checked before it carries a request. A
// connection that delivers no frame within Options.FrameTimeout during a request has timed out: the call returns an
// error, the connection is closed, and the caller of the package looks up the attempt on a new connection.
package peer
