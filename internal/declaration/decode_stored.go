package declaration

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/pkg/errors"
)

// DecodeStored parses a document that another build may have written. Routes that this build does not understand become
// unsupported, those with unknown fields included, because such a field may restrict who calls the route. An unknown field of the
// service makes the service and all its routes unsupported. Only what is wrong with the value of a known field of the service is an
// error.
func DecodeStored(data []byte) (*Service, error) {
	if s := decodeCanonical(data); s != nil {
		return s, nil
	}
	s, err := decodeRoutesApart(data)
	if err != nil {
		return nil, errors.Wrap(err, "service document")
	}
	s.MarkUnsupportedRoutes()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeCanonical decodes a document that this build would encode the same. Nothing of such a document is unknown to it. It
// returns nil for any other document.
func decodeCanonical(data []byte) *Service {
	d := new(Document)
	if json.Unmarshal(data, d) != nil {
		return nil
	}
	d.dropImpliedRequirements()
	if d.Validate() != nil {
		return nil
	}
	if encoded, err := json.Marshal(d); err != nil || !bytes.Equal(encoded, data) {
		return nil
	}
	return &d.Service
}

// documentOfRoutes is a Document whose routes are not decoded.
type documentOfRoutes struct {
	Document
	Routes []json.RawMessage `json:"routes"`
}

// decodeRoutesApart decodes each route on its own.
func decodeRoutesApart(data []byte) (*Service, error) {
	var document documentOfRoutes
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	s := &document.Service
	if document.Routes != nil {
		s.Routes = make([]Route, 0, len(document.Routes))
	}
	for _, raw := range document.Routes {
		s.Routes = append(s.Routes, decodeStoredRoute(raw))
	}
	if err := checkFields(data, reflect.TypeFor[documentOfRoutes]()); err != nil {
		s.markUnsupported(err)
	}
	return s, nil
}

// decodeStoredRoute decodes a route. One with an unknown field or a value of another type becomes unsupported.
func decodeStoredRoute(raw json.RawMessage) Route {
	var route Route
	err := json.Unmarshal(raw, &route)
	if err == nil {
		err = checkFields(raw, reflect.TypeFor[Route]())
	}
	if err != nil {
		return unsupportedFrom(raw, err)
	}
	route.dropImpliedRequirements()
	return route
}

// markUnsupported makes the service and all its routes unsupported for the given reason.
func (s *Service) markUnsupported(reason error) {
	s.Unsupported = reason.Error()
	for i := range s.Routes {
		s.Routes[i].MarkUnsupported(reason)
	}
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
