package statement

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// classDangers finds requests that were non-idempotent and become idempotent, so that the fleet may run one more than
// once. It asks for the class at the host and path of every route, old and new, since a new route may also cover requests
// of a broader one, and a removed route may leave its requests to a broader one.
func classDangers(from, to *declaration.Service) []string {
	before, after := newClassTable(from), newClassTable(to)
	var dangers []string
	seen := make(map[routePlace]bool)
	for _, route := range append(from.Routes[:len(from.Routes):len(from.Routes)], to.Routes...) {
		place := routePlace{route.Host, trimPath(route.Path)}
		if seen[place] {
			continue
		}
		seen[place] = true
		if methods := relaxedMethods(before, after, place); len(methods) > 0 {
			dangers = append(dangers, classDanger(&route, methods))
		}
	}
	return dangers
}

func classDanger(route *declaration.Route, methods []string) string {
	place := declaration.Route{Host: route.Host, Path: route.Path, Methods: methods}
	return fmt.Sprintf("%s changes from non-idempotent to idempotent, so that a request may run more than once", routeHead(&place))
}

// standardMethods stand for all methods where a route lists none.
var standardMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// relaxedMethods returns the methods that are non-idempotent before and idempotent after the change.
func relaxedMethods(before, after *classTable, place routePlace) []string {
	var methods []string
	for _, method := range before.methods {
		if before.class(place, method) == declaration.NonIdempotent && after.class(place, method) == declaration.Idempotent {
			methods = append(methods, method)
		}
	}
	return methods
}

// routePlace is the host and the path of a route, without the slash at the end.
type routePlace struct {
	host string
	path string
}

// classTable finds the class of a request by host, path and method.
type classTable struct {
	routes  map[routePlace][]*declaration.Route
	methods []string
}

func newClassTable(service *declaration.Service) *classTable {
	table := &classTable{
		routes:  make(map[routePlace][]*declaration.Route),
		methods: append([]string(nil), standardMethods...),
	}
	for i := range service.Routes {
		route := &service.Routes[i]
		place := routePlace{route.Host, trimPath(route.Path)}
		table.routes[place] = append(table.routes[place], route)
		table.addMethods(route.Methods)
	}
	return table
}

func (t *classTable) addMethods(methods []string) {
	for _, method := range methods {
		if !contains(t.methods, method) {
			t.methods = append(t.methods, method)
		}
	}
}

// class returns the class of the most specific route: a named host before any host, then the longer path, then a
// listed method before any method. It is empty if no route matches.
func (t *classTable) class(place routePlace, method string) declaration.Class {
	hosts := []string{place.host}
	if place.host != "" {
		hosts = append(hosts, "")
	}
	for _, host := range hosts {
		for path := place.path; ; path = parentPath(path) {
			if route := pickByMethod(t.routes[routePlace{host, path}], method); route != nil {
				return route.ClassOf(method)
			}
			if path == "" {
				break
			}
		}
	}
	return ""
}

func pickByMethod(routes []*declaration.Route, method string) *declaration.Route {
	var anyMethod *declaration.Route
	for _, route := range routes {
		if contains(route.Methods, method) {
			return route
		}
		if len(route.Methods) == 0 {
			anyMethod = route
		}
	}
	return anyMethod
}

// trimPath returns the path without its last slash, "" for the root.
func trimPath(path string) string { return strings.TrimSuffix(path, "/") }

func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

func contains(list []string, word string) bool {
	for _, one := range list {
		if one == word {
			return true
		}
	}
	return false
}
