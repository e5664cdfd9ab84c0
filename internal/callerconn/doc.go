// Package callerconn has the server's side of a caller's connection. A connection that the server closes does not lose the last
// response, also if requests that were sent before it (HTTP pipelining) are unread.
package callerconn
