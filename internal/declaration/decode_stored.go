package declaration

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// DecodeStored parses a document that another build may have written. Routes that this build does not understand become
// unsupported, those with unknown fields included, because such a field may restrict who calls the route. The service and all its
// routes become unsupported if it has an unknown field or a field of which the value is not valid, or if it is not known which
// requests one of its routes matches. The name of an unsupported service is empty if it cannot be read. Only what is not a JSON
// object is an error.
func DecodeStored(data []byte) (*Service, error) {
	if s := decodeCanonical(data); s != nil {
		return s, nil
	}
	s, err := decodeParts(data)
	if err != nil {
		return nil, errors.Wrap(err, "service document")
	}
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

// decodeParts decodes the fields of a service and each of its routes on their own.
func decodeParts(data []byte) (*Service, error) {
	var document documentOfRoutes
	fault := json.Unmarshal(data, &document)
	var typeError *json.UnmarshalTypeError
	if fault != nil && !errors.As(fault, &typeError) {
		return nil, fault
	}
	fields, err := jsonFields(data)
	if err != nil {
		return nil, err
	}
	if fault != nil {
		// The fields of the right type are decoded.
		fault = withoutValue(fault)
	} else {
		fault = checkFields(data, reflect.TypeFor[documentOfRoutes]())
	}
	s := &document.Service
	s.Name = readServiceName(fields)
	unplaced := s.decodeStoredRoutes(document.Routes != nil, readRoutes(fields))
	s.RoutesUnknown = unplaced != nil || !hasOneRouteList(fields)
	s.MarkUnsupportedRoutes()
	s.markFaults(fault, s.validateFields(), unplaced)
	return s, nil
}

// readServiceName returns the name of a service, "" if it cannot be read.
func readServiceName(fields []jsonField) model.ServiceName {
	var name model.ServiceName
	values := fieldsLike(fields, "name")
	if len(values) != 1 || values[0].name != "name" || json.Unmarshal(values[0].value, &name) != nil {
		return ""
	}
	return name
}

// readRoutes returns the encoded routes of all fields that may contain them.
func readRoutes(fields []jsonField) []json.RawMessage {
	var routes []json.RawMessage
	for _, field := range fieldsLike(fields, "routes") {
		var list []json.RawMessage
		if json.Unmarshal(field.value, &list) == nil {
			routes = append(routes, list...)
		}
	}
	return routes
}

// hasOneRouteList reports whether a single field can contain routes, and is a list or null.
func hasOneRouteList(fields []jsonField) bool {
	var list []json.RawMessage
	values := fieldsLike(fields, "routes")
	return len(values) == 1 && json.Unmarshal(values[0].value, &list) == nil
}

// decodeStoredRoutes decodes the routes of the service. It returns an error for the first one of which the place is not known.
func (s *Service) decodeStoredRoutes(exist bool, encoded []json.RawMessage) error {
	s.Routes = nil
	if exist {
		s.Routes = make([]Route, 0, len(encoded))
	}
	var unplaced error
	for i, raw := range encoded {
		route, err := decodeStoredRoute(raw)
		if err != nil && unplaced == nil {
			unplaced = errors.Wrapf(err, "route %d of the list", i+1)
		}
		s.Routes = append(s.Routes, route)
	}
	return unplaced
}

// errNoPath is the error for a route without a path.
var errNoPath = errors.New("the path does not begin with '/'")

// decodeStoredRoute decodes a route. One with an unknown field or a value of another type becomes unsupported. The error says why it
// is not known which requests the route matches, nil if it is.
func decodeStoredRoute(raw json.RawMessage) (Route, error) {
	var route Route
	err := json.Unmarshal(raw, &route)
	if err == nil {
		err = checkFields(raw, reflect.TypeFor[Route]())
	}
	if err != nil {
		return unsupportedFrom(raw, err)
	}
	route.dropImpliedRequirements()
	if route.Unsupported == "" && !route.hasPath() {
		return route, errNoPath
	}
	return route, nil
}
