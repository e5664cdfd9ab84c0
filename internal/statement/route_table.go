package statement

import (
	"net/http"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// standardMethods are always checked, because a route without a method list matches any method.
var standardMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// hostPath is the host of a route and its path without the trailing slash.
type hostPath struct {
	host string
	path string
}

// routeTable finds the route of a request by host, path and method.
type routeTable struct {
	list    []declaration.Route
	routes  map[hostPath][]*declaration.Route
	methods []string
}

func newRouteTable(service *declaration.Service) *routeTable {
	table := &routeTable{
		list:    service.Routes,
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

func (t *routeTable) addMethods(methods []string) {
	for _, method := range methods {
		if !contains(t.methods, method) {
			t.methods = append(t.methods, method)
		}
	}
}

// find returns the most specific matching route: a route with a host precedes one for any host, then the longer path, then
// a listed method precedes any method. It returns nil if no route matches.
func (t *routeTable) find(key hostPath, method string) *declaration.Route {
	hosts := []string{key.host}
	if key.host != "" {
		hosts = append(hosts, "")
	}
	for _, host := range hosts {
		for path := key.path; ; path = parentPath(path) {
			if route := routeForMethod(t.routes[hostPath{host, path}], method); route != nil {
				return route
			}
			if path == "" {
				break
			}
		}
	}
	return nil
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
