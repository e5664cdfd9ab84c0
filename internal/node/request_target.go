package node

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// errTunnel means that a request asks for a tunnel. What follows the head of such a request belongs to the tunnel (RFC 9110, section
// 9.3.6), also if the node has read it as a body.
var errTunnel = errors.New("node: CONNECT is not forwarded")

// requestURI returns path and query as the caller sent them, without the scheme and the authority of an absolute URI. A request
// target without a path, such as that of "OPTIONS *" and "CONNECT host:443", is returned as it is. No route matches it.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.Method == http.MethodConnect || r.URL.Host == "" {
		return r.RequestURI
	}
	_, target, _ := strings.Cut(r.RequestURI, "://")
	start := strings.IndexAny(target, "/?")
	switch {
	case start < 0 && r.Method == http.MethodOptions:
		// RFC 9112, section 3.2.4.
		return "*"
	case start < 0:
		return "/"
	case target[start] == '?':
		return "/" + target[start:]
	}
	return target[start:]
}
