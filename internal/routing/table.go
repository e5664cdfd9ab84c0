// Package routing matches requests to routes and picks a target for an attempt. Both work on immutable snapshots.
package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Table is an immutable route table.
type Table struct {
	// paths maps host and path prefix to the routes declared for them. Routes without a host have the key host "".
	paths map[pathKey][]*Match
	hosts map[string]bool
	// longestTimeout is that of the routes that are served.
	longestTimeout time.Duration
}

type pathKey struct {
	host string
	path string
}

// Match is a matching route and the service that declares it.
type Match struct {
	Service *declaration.Service
	Route   *declaration.Route
}

// NewTable returns the table of the services' routes. If two services declare the same route, the service whose name
// sorts first takes precedence, so that all nodes choose the same one.
func NewTable(services []*declaration.Service) *Table {
	ordered := append([]*declaration.Service(nil), services...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	t := &Table{paths: make(map[pathKey][]*Match), hosts: make(map[string]bool)}
	for _, service := range ordered {
		for i := range service.Routes {
			t.add(&Match{Service: service, Route: &service.Routes[i]})
		}
	}
	return t
}

func (t *Table) add(m *Match) {
	if !strings.HasPrefix(m.Route.Path, "/") {
		// An unsupported route whose path could not be read.
		return
	}
	if m.Route.Unsupported == "" {
		t.longestTimeout = max(t.longestTimeout, m.Route.Timeout())
	}
	host := CanonicalHost(m.Route.Host)
	key := pathKey{host: host, path: trimSlash(m.Route.Path)}
	t.paths[key] = append(t.paths[key], m)
	if host != "" {
		t.hosts[host] = true
	}
}

// LongestTimeout returns the longest time that a request of a route in the table may take, 0 without routes.
func (t *Table) LongestTimeout() time.Duration { return t.longestTimeout }

// Match returns the most specific route for the request, nil if there is none. A route for the request's host takes
// precedence over one for any host, then a longer path over a shorter one, then a named method over any method. host is
// the Host header; its letter case, port and final dot do not matter. path is the decoded path of the URL.
func (t *Table) Match(host, method, path string) *Match {
	if path != "" && path[0] != '/' {
		// "OPTIONS *" has no path.
		return nil
	}
	host = CanonicalHost(host)
	if t.hosts[host] {
		if m := t.matchHost(host, method, path); m != nil {
			return m
		}
	}
	return t.matchHost("", method, path)
}

func (t *Table) matchHost(host, method, path string) *Match {
	fullPath := path
	path = trimSlash(path)
	for {
		m := pickMethod(t.paths[pathKey{host: host, path: path}], method)
		if m != nil && (!m.Route.BelowOnly || len(fullPath) > len(path)) {
			return m
		}
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

func pickMethod(matches []*Match, method string) *Match {
	var anyMethod *Match
	for _, m := range matches {
		if len(m.Route.Methods) == 0 {
			if anyMethod == nil {
				anyMethod = m
			}
			continue
		}
		for _, name := range m.Route.Methods {
			if name == method {
				return m
			}
		}
	}
	return anyMethod
}

// trimSlash removes trailing slashes, so that "/" is "" and "/a/" is "/a".
func trimSlash(path string) string {
	for len(path) > 0 && path[len(path)-1] == '/' {
		path = path[:len(path)-1]
	}
	return path
}
