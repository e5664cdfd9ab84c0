// Package framing checks that messages of HTTP/1 are delimited as RFC 9112 demands before they are believed. net/http is more
// tolerant.
package framing
