package headers

import (
	"net/textproto"
	"strings"
)

// fleetPrefix begins the names of the headers that belong to the fleet in each dialect.
const fleetPrefix = "Sardinereach-"

// Canonical returns the one spelling of a name to which all that count as equal are converted.
func Canonical(name string) string {
	if strings.IndexByte(name, '_') >= 0 {
		name = strings.ReplaceAll(name, "_", "-")
	}
	return textproto.CanonicalMIMEHeaderKey(name)
}
