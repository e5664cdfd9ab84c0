package declaration

import (
	"encoding/json"

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
// routes of the service from use.
func (s *Service) MarkUnsupportedRoutes() {
	seen := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		route := &s.Routes[i]
		if route.Unsupported != "" {
			continue
		}
		err := route.validate()
		if err == nil && seen[route.id()] {
			err = errDeclaredTwice(route)
		}
		seen[route.id()] = true
		if err != nil {
			methods := route.Methods
			*route = UnsupportedRoute(route.Host, route.Path, route.BelowOnly, err)
			route.limitMethods(methods)
		}
	}
}

// limitMethods limits an unsupported route to the methods of the original one, if they are valid.
func (r *Route) limitMethods(methods []string) {
	if validateMethods(methods) == nil {
		r.Methods = methods
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

// DecodeStored parses a document that another build may have written. Fields that this build does not know are ignored.
// Routes that it does not understand become unsupported; only what is wrong with the service itself is an error.
func DecodeStored(data []byte) (*Service, error) {
	s := new(Service)
	err := json.Unmarshal(data, s)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		s, err = decodeRoutesApart(data)
	}
	if err != nil {
		return nil, errors.Wrap(err, "service document")
	}
	s.MarkUnsupportedRoutes()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeRoutesApart decodes each route on its own. A route with a value of another type becomes unsupported.
func decodeRoutesApart(data []byte) (*Service, error) {
	var document struct {
		Service
		Routes []json.RawMessage `json:"routes"`
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	s := &document.Service
	s.Routes = make([]Route, len(document.Routes))
	for i, raw := range document.Routes {
		if err := json.Unmarshal(raw, &s.Routes[i]); err != nil {
			s.Routes[i] = unsupportedFrom(raw, err)
		}
	}
	return s, nil
}

// unsupportedFrom returns the unsupported route for an encoded route. Without a readable host and path it matches no
// request.
func unsupportedFrom(raw json.RawMessage, reason error) Route {
	var place struct {
		Host      string   `json:"host"`
		Methods   []string `json:"methods"`
		Path      string   `json:"path"`
		BelowOnly bool     `json:"below_only"`
	}
	if err := json.Unmarshal(raw, &place); err != nil {
		return UnsupportedRoute("", "", false, reason)
	}
	route := UnsupportedRoute(place.Host, place.Path, place.BelowOnly, reason)
	route.limitMethods(place.Methods)
	return route
}
