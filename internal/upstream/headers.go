package upstream

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// connectionHeaders are the headers that apply to a single connection (RFC 9110, section 7.6.1). They are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd returns the headers that are forwarded, which are all but those that apply to a single connection.
func EndToEnd(header http.Header) []*peerv1.Header {
	named := namedInConnection(header)
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

// namedInConnection returns the names of the headers that the Connection header lists.
func namedInConnection(header http.Header) map[string]bool {
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
