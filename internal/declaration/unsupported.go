package declaration

import (
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// UnsupportedRoute returns a route in place of one that this build cannot serve, for the given reason. It matches the
// requests at the host and path, so that they are refused and do not reach a less specific route. The caller may limit its
// methods.
func UnsupportedRoute(host, path string, belowOnly bool, reason error) Route {
	return Route{Host: host, Path: path, BelowOnly: belowOnly, Class: NonIdempotent, Unsupported: reason.Error()}
}

// Refusal returns the refusal of all requests of an unsupported route, nil for a route that is served.
func (r *Route) Refusal() *verdict.Error {
	if r.Unsupported == "" {
		return nil
	}
	return verdict.Refused(verdict.RouteUnsupported, errors.New(r.Unsupported))
}

// MarkUnsupportedRoutes replaces each route that is not valid by an unsupported one, so that it does not keep the other
// routes of the service from use. A route for the same requests as one that is not understood becomes unsupported, too: the other
// one may restrict them.
func (s *Service) MarkUnsupportedRoutes() {
	refused := s.markInvalidRoutes()
	seen := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		route := &s.Routes[i]
		switch id := route.id(); {
		case refused[id], seen[id]:
			route.MarkUnsupported(errDeclaredTwice(route))
		default:
			seen[id] = true
		}
	}
}

// markInvalidRoutes makes the routes that are not valid unsupported. It returns the IDs of all unsupported routes.
func (s *Service) markInvalidRoutes() map[string]bool {
	refused := map[string]bool{}
	for i := range s.Routes {
		route := &s.Routes[i]
		if err := route.validate(); err != nil {
			route.MarkUnsupported(err)
		}
		if route.Unsupported != "" {
			refused[route.id()] = true
		}
	}
	return refused
}

// MarkUnsupported replaces the route by an unsupported one, unless it is one.
func (r *Route) MarkUnsupported(reason error) {
	if r.Unsupported != "" {
		return
	}
	methods, timeoutMS := r.Methods, r.TimeoutMS
	*r = UnsupportedRoute(r.Host, r.Path, r.BelowOnly, reason)
	r.limitMethods(methods)
	r.KeepTimeout(timeoutMS)
}

// limitMethods limits an unsupported route to the methods of the original one, if they are valid.
func (r *Route) limitMethods(methods []string) {
	if validateMethods(methods) == nil {
		r.Methods = methods
	}
}

// KeepTimeout sets the timeout of an unsupported route, in milliseconds, if it is valid: runs that a process of another build has sent
// may take as long.
func (r *Route) KeepTimeout(timeoutMS int64) {
	if isTimeout(timeoutMS) {
		r.TimeoutMS = timeoutMS
	}
}

// UnsupportedRoutes returns the routes of the service that this build cannot serve.
func (s *Service) UnsupportedRoutes() []*Route {
	var unsupported []*Route
	for i := range s.Routes {
		if s.Routes[i].Unsupported != "" {
			unsupported = append(unsupported, &s.Routes[i])
		}
	}
	return unsupported
}
