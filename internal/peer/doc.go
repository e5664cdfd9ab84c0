// Package peer carries the protocol between nodes over drpc: a client with a connection pool per peer, and a server.
//
// A drpc connection carries one call at a time. A connection that was idle is checked before it carries a request, and
// one that delivers no frame for a while during a request counts as silent: the call ends with an error, the
// connection is closed, and the caller of the package asks for the attempt on a new connection.
package peer
