package upstream

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1) and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd returns the headers that are passed on: all but those that concern one connection only.
func EndToEnd(header http.Header) []*peerv1.Header {
	named := connectionNamed(header)
	out := make([]*peerv1.Header, 0, len(header))
	for name, values := range header {
		if connectionHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			out = append(out, &peerv1.Header{Name: name, Value: value})
		}
	}
	return out
}

// connectionNamed returns the headers that the Connection header names.
func connectionNamed(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
