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
	// longestTimeout is that of all routes, also of those that are refused: another build may have served them.
	longestTimeout time.Duration
}

type pathKey struct {
	host string
	path string
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
	t.longestTimeout = max(t.longestTimeout, m.Route.Timeout())
	if !strings.HasPrefix(m.Route.Path, "/") {
		// An unsupported route whose path could not be read.
		return
	}
	host := CanonicalHost(m.Route.Host)
	key := pathKey{host: host, path: trimSlash(parsePath(m.Route.Path).routed)}
	t.paths[key] = append(t.paths[key], m)
	if host != "" {
		t.hosts[host] = true
	}
}

// LongestTimeout returns the longest time that a request of a route in the table may take, 0 without routes.
func (t *Table) LongestTimeout() time.Duration { return t.longestTimeout }

// Match returns the most specific route for the request, nil if there is none. A route for the request's host takes
// precedence over one for any host, then a longer path over a shorter one, then a named method over any method. host is
// the Host header; its letter case, port and final dot do not matter. path is the path as it was sent, with its
// percent-encoding. If an upstream may read it in another way, the match has the restrictions of the routes of that reading, too.
func (t *Table) Match(host, method, path string) *Match {
	if path != "" && path[0] != '/' {
		// "OPTIONS *" has no path.
		return nil
	}
	host = CanonicalHost(host)
	readings := parsePath(path)
	m := t.matchHosts(host, method, readings.routed)
	switch {
	case m == nil:
		return nil
	case readings.ambiguity != nil:
		return &Match{Service: m.Service, Route: m.Route, ambiguity: readings.ambiguity}
	case readings.merged == readings.routed:
		return m
	}
	restricted := t.restrict(m, m, host, method, readings.merged)
	if readings.behindHost != "" {
		restricted = t.restrict(restricted, m, host, method, readings.behindHost)
	}
	return restricted
}

func (t *Table) matchHosts(host, method, path string) *Match {
	if t.hosts[host] {
		if m, _ := t.longest(host, method, path, trimSlash(path)); m != nil {
			return m
		}
	}
	m, _ := t.longest("", method, path, trimSlash(path))
	return m
}

// restrict returns the match with the restrictions of all routes that the path leads to and that are not as general as that of m:
// an upstream may take some separators of the path and leave others.
func (t *Table) restrict(restricted, m *Match, host, method, path string) *Match {
	for _, h := range []string{host, ""} {
		for prefix := trimSlash(path); ; prefix = parent(prefix) {
			var other *Match
			other, prefix = t.longest(h, method, path, prefix)
			if other == m {
				return restricted
			}
			if other != nil {
				restricted = restricted.restrictedBy(other.Route, method)
			}
			if prefix == "" {
				break
			}
		}
	}
	return restricted
}

// longest returns the route with the longest prefix of the path, and that prefix without its final slash. It considers prefix and
// the shorter ones. Without a route it returns nil and "".
func (t *Table) longest(host, method, path, prefix string) (*Match, string) {
	for {
		m := pickMethod(t.paths[pathKey{host: host, path: prefix}], method)
		if m != nil && (!m.Route.BelowOnly || len(path) > len(prefix)) {
			return m, prefix
		}
		if prefix == "" {
			return nil, ""
		}
		prefix = parent(prefix)
	}
}

// parent returns the path without its last segment.
func parent(path string) string { return path[:strings.LastIndexByte(path, '/')] }

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
