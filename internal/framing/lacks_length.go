package framing

import "net/http"

// LacksLength reports whether a request of HTTP/1.0 has to have a length and has none. Such a sender may end the body with its
// connection, or send chunks, which HTTP/1.0 does not have: net/http reads both as a request without a body.
func LacksLength(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		_, hasLength := r.Header["Content-Length"]
		return !r.ProtoAtLeast(1, 1) && !hasLength
	}
	return false
}
