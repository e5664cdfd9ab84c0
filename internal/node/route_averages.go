package node

import "sync"

// maxAveragedRoutes bounds the routes whose averages are kept.
const maxAveragedRoutes = 1 << 14

// routeAverages keeps a smoothed figure of each route.
type routeAverages[T ~int64] struct {
	mu     sync.Mutex
	routes map[string]T
}

func newRouteAverages[T ~int64]() *routeAverages[T] {
	return &routeAverages[T]{routes: make(map[string]T)}
}

// add takes in a value of the route.
func (a *routeAverages[T]) add(route string, value T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, known := a.routes[route]
	if known || len(a.routes) < maxAveragedRoutes {
		a.routes[route] = smooth(old, value)
	}
}

// of returns the smoothed figure of the route, 0 if it has none.
func (a *routeAverages[T]) of(route string) T {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routes[route]
}
