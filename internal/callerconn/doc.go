// Package callerconn has the server's side of a caller's connection. It adds to net/http what requests need that are sent
// before the response to an earlier one (HTTP pipelining): the close of the connection is noticed although bytes of a later
// request wait, and a connection that the server closes does not lose the last response.
package callerconn
