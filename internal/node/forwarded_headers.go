package node

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/headers"
)

// headerForwardedFor lists the addresses of the caller and of the proxies before this node.
const headerForwardedFor = "X-Forwarded-For"

// forwardedHeaders returns the headers for the upstream: those of the caller that are passed on, and those that this node adds.
func (a *acceptor) forwardedHeaders(r *http.Request, requestID string) []*peerv1.Header {
	list := a.headers.Forwarded(headers.FromCaller, r.Header)
	if requestID != "" {
		list = appendHeader(list, a.dialect.RequestIDHeader, requestID)
	}
	if a.dialect.CallerServiceHeader != "" {
		list = appendHeader(list, a.dialect.CallerServiceHeader, string(a.callerService))
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && a.dialect.SardinereachHeaders {
		addresses := append(slices.Clone(r.Header.Values(headerForwardedFor)), host)
		list = appendHeader(list, headerForwardedFor, strings.Join(addresses, ", "))
	}
	return list
}

func appendHeader(list []*peerv1.Header, name, value string) []*peerv1.Header {
	return append(list, &peerv1.Header{Name: headers.Canonical(name), Value: value})
}
