package declaration

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// routePlace has the fields of a route that determine which requests it matches.
type routePlace struct {
	Host      string   `json:"host"`
	Methods   []string `json:"methods"`
	Path      string   `json:"path"`
	BelowOnly bool     `json:"below_only"`
}

var placeFields = []string{"host", "methods", "path", "below_only"}

// errPlace is the error for a field of a place that is ambiguous: given twice, null, or in another letter case.
var errPlace = errors.New("its host, path or methods cannot be read")

// unsupportedFrom returns the unsupported route for an encoded route. If its place cannot be read, the route matches no request and
// the error says so.
func unsupportedFrom(raw json.RawMessage, reason error) (Route, error) {
	var timeout struct {
		TimeoutMS int64 `json:"timeout_ms"`
	}
	// A timeout that cannot be read stays 0.
	_ = json.Unmarshal(raw, &timeout)
	route := UnsupportedRoute("", "", false, reason)
	route.KeepTimeout(timeout.TimeoutMS)
	place, err := readPlace(raw)
	if err != nil {
		return route, err
	}
	route.Host, route.Path, route.BelowOnly = place.Host, place.Path, place.BelowOnly
	route.limitMethods(place.Methods)
	return route, nil
}

// readPlace returns the place of an encoded route.
func readPlace(raw json.RawMessage) (routePlace, error) {
	var place routePlace
	fields, err := jsonFields(raw)
	if err != nil {
		return place, err
	}
	for _, name := range placeFields {
		if values := fieldsLike(fields, name); len(values) > 1 || len(values) == 1 && (values[0].name != name || isNull(values[0].value)) {
			return place, errPlace
		}
	}
	if json.Unmarshal(raw, &place) != nil {
		return place, errPlace
	}
	if !strings.HasPrefix(place.Path, "/") {
		return place, errNoPath
	}
	return place, nil
}

// fieldsLike returns the fields that package json takes for the one with the name: those with another letter case, too.
func fieldsLike(fields []jsonField, name string) []jsonField {
	return slices.DeleteFunc(slices.Clone(fields), func(field jsonField) bool { return !strings.EqualFold(field.name, name) })
}
