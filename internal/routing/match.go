package routing

import (
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Match is a matching route and the service that declares it.
type Match struct {
	Service *declaration.Service
	// Route is the route with the restrictions of the routes that an upstream may read the path as.
	Route *declaration.Route
	// ambiguity is why upstreams may take the path for another one, nil if they do not.
	ambiguity error
}

var (
	// errPathClimbs means that the path of a request has a segment "..", which callers resolve before they send a request (RFC 3986,
	// section 5.2.4).
	errPathClimbs = errors.New("routing: the path has a segment \"..\"")
	// errPathNotSendable means that http.Transport cannot send the path unchanged.
	errPathNotSendable = errors.New("routing: the path begins with \"//\" and has characters that need an encoding")
)

// Refusal returns the refusal of all requests of the match, nil if they are served.
func (m *Match) Refusal() *verdict.Error {
	if m.ambiguity != nil {
		return verdict.Refused(verdict.PathAmbiguous, m.ambiguity)
	}
	return m.Route.Refusal()
}

// restrictedBy returns the match with the restrictions of the other route for the method.
func (m *Match) restrictedBy(other *declaration.Route, method string) *Match {
	route := *m.Route
	route.RequiresKey = route.RequiresKey || other.RequiresKey
	if other.ClassOf(method) == declaration.NonIdempotent {
		route.Class = declaration.NonIdempotent
	}
	if route.Unsupported == "" {
		route.Unsupported = other.Unsupported
	}
	return &Match{Service: m.Service, Route: &route, ambiguity: m.ambiguity}
}
