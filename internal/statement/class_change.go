package statement

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// classDangers lists the requests that change from non-idempotent to idempotent, because the fleet may then run one of
// them more than once. It compares the class at the host and path of every old and new route: a new route may also take
// over requests of a broader route, and the requests of a removed route may fall back to a broader route.
func classDangers(from, to *declaration.Service) []string {
	before, after := newClassTable(from), newClassTable(to)
	var dangers []string
	seen := make(map[hostPath]bool)
	for _, route := range append(from.Routes[:len(from.Routes):len(from.Routes)], to.Routes...) {
		key := hostPath{route.Host, trimTrailingSlash(route.Path)}
		if seen[key] {
			continue
		}
		seen[key] = true
		if methods := newlyIdempotentMethods(before, after, key); len(methods) > 0 {
			dangers = append(dangers, classDanger(&route, methods))
		}
	}
	return dangers
}

func classDanger(route *declaration.Route, methods []string) string {
	affected := declaration.Route{Host: route.Host, Path: route.Path, Methods: methods}
	return fmt.Sprintf("%s changes from non-idempotent to idempotent, so that a request may run more than once", routeHead(&affected))
}

// standardMethods are always checked, because a route without a method list matches any method.
var standardMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// newlyIdempotentMethods returns the methods that the change turns from non-idempotent into idempotent.
func newlyIdempotentMethods(before, after *classTable, key hostPath) []string {
	var methods []string
	for _, method := range before.methods {
		if before.class(key, method) == declaration.NonIdempotent && after.class(key, method) == declaration.Idempotent {
			methods = append(methods, method)
		}
	}
	return methods
}

// hostPath is the host of a route and its path without the trailing slash.
type hostPath struct {
	host string
	path string
}

// classTable looks up the class of a request by host, path and method.
type classTable struct {
	routes  map[hostPath][]*declaration.Route
	methods []string
}

func newClassTable(service *declaration.Service) *classTable {
	table := &classTable{
		routes:  make(map[hostPath][]*declaration.Route),
		methods: append([]string(nil), standardMethods...),
	}
	for i := range service.Routes {
		route := &service.Routes[i]
		key := hostPath{route.Host, trimTrailingSlash(route.Path)}
		table.routes[key] = append(table.routes[key], route)
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

// class returns the class of the most specific matching route: a route with a host precedes one for any host, then the
// longer path, then a listed method precedes any method. The result is empty if no route matches.
func (t *classTable) class(key hostPath, method string) declaration.Class {
	hosts := []string{key.host}
	if key.host != "" {
		hosts = append(hosts, "")
	}
	for _, host := range hosts {
		for path := key.path; ; path = parentPath(path) {
			if route := routeForMethod(t.routes[hostPath{host, path}], method); route != nil {
				return route.ClassOf(method)
			}
			if path == "" {
				break
			}
		}
	}
	return ""
}

func routeForMethod(routes []*declaration.Route, method string) *declaration.Route {
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

// trimTrailingSlash returns the path without a trailing slash. The result is empty for the root.
func trimTrailingSlash(path string) string { return strings.TrimSuffix(path, "/") }

func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

func contains(list []string, word string) bool {
	for _, element := range list {
		if element == word {
			return true
		}
	}
	return false
}
