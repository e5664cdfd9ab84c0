package routing

import "strings"

// CanonicalHost returns the host of a Host header in the form in which routes are compared: without port and final dot, in lower
// case. It does not allocate memory for a host that has this form.
func CanonicalHost(hostport string) string {
	return strings.ToLower(strings.TrimSuffix(withoutPort(hostport), "."))
}

// withoutPort cuts off the port, and the brackets of an IPv6 address.
func withoutPort(hostport string) string {
	if address, ok := strings.CutPrefix(hostport, "["); ok {
		address, _, _ = strings.Cut(address, "]")
		return address
	}
	host, _, hasPort := strings.Cut(hostport, ":")
	if !hasPort || strings.Count(hostport, ":") > 1 {
		return hostport
	}
	return host
}
