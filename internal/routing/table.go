// Package routing matches requests to routes and picks a target for an attempt. Both work on immutable snapshots.
package routing

import (
	"sort"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Table is an immutable route table.
type Table struct {
	// paths maps host and path prefix to the routes declared for it. Routes without a host stand under host "".
	paths map[pathKey][]*Match
	hosts map[string]bool
}

type pathKey struct {
	host string
	path string
}

// Match is a route with the service that declares it.
type Match struct {
	Service *declaration.Service
	Route   *declaration.Route
}

// NewTable returns the table of the services' routes. Of two equal routes the one of the service whose name sorts
// first is used, so that all nodes agree.
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
	key := pathKey{host: m.Route.Host, path: trimSlash(m.Route.Path)}
	t.paths[key] = append(t.paths[key], m)
	if m.Route.Host != "" {
		t.hosts[m.Route.Host] = true
	}
}

// Match returns the most specific route of the request, nil if there is none: a route with the request's host goes
// before one for every host, a longer path before a shorter one, and a named method before any method. host has no
// port, path is the decoded path of the URL.
func (t *Table) Match(host, method, path string) *Match {
	if path != "" && path[0] != '/' {
		// "OPTIONS *" names no path.
		return nil
	}
	if t.hosts[host] {
		if m := t.matchHost(host, method, path); m != nil {
			return m
		}
	}
	return t.matchHost("", method, path)
}

func (t *Table) matchHost(host, method, path string) *Match {
	whole := path
	path = trimSlash(path)
	for {
		m := pickMethod(t.paths[pathKey{host: host, path: path}], method)
		if m != nil && (!m.Route.BelowOnly || len(whole) > len(path)) {
			return m
		}
		if path == "" {
			return nil
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
}

func pickMethod(matches []*Match, method string) *Match {
	var any *Match
	for _, m := range matches {
		if len(m.Route.Methods) == 0 {
			if any == nil {
				any = m
			}
			continue
		}
		for _, name := range m.Route.Methods {
			if name == method {
				return m
			}
		}
	}
	return any
}

// trimSlash removes trailing slashes, so that "/" is "" and "/a/" is "/a".
func trimSlash(path string) string {
	for len(path) > 0 && path[len(path)-1] == '/' {
		path = path[:len(path)-1]
	}
	return path
}
