// Package framing checks that the answers of an HTTP/1 server are delimited as RFC 9112 demands before a client believes them.
// net/http is more tolerant.
package framing
