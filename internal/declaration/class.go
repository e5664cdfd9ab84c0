package declaration

import "net/http"

// ClassOf returns the class of a request with the given method on the route.
func (r *Route) ClassOf(method string) Class {
	if r.Class != "" {
		return r.Class
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return Idempotent
	}
	return NonIdempotent
}
