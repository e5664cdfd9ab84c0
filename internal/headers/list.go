package headers

import (
	"net/http"
	"strings"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Forwarded returns the headers that are passed on.
func (r *Rules) Forwarded(leg Leg, header http.Header) []*peerv1.Header {
	named := namedInConnection(header)
	out := make([]*peerv1.Header, 0, len(header))
	for name, values := range header {
		if !r.forwards(leg, name, named) {
			continue
		}
		for _, value := range values {
			out = append(out, &peerv1.Header{Name: name, Value: value})
		}
	}
	return out
}

// namedInConnection returns the canonical names of the headers that the Connection header lists.
func namedInConnection(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[Canonical(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Values returns the values of all spellings of the header.
func Values(header http.Header, name string) []string {
	if name == "" {
		return nil
	}
	name = Canonical(name)
	values := header[name]
	for spelling, more := range header {
		if spelling != name && Canonical(spelling) == name {
			values = append(values[:len(values):len(values)], more...)
		}
	}
	return values
}

// Delete removes all spellings of the header.
func Delete(header http.Header, name string) {
	if name == "" {
		return
	}
	name = Canonical(name)
	for spelling := range header {
		if Canonical(spelling) == name {
			delete(header, spelling)
		}
	}
}
