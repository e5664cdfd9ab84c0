package node

import "sync"

// maxAveragedRoutes bounds the number of routes with an average.
const maxAveragedRoutes = 1 << 14

// routeAverages keeps a moving average for each route.
type routeAverages[T ~int64] struct {
	mu     sync.Mutex
	routes map[string]T
}

func newRouteAverages[T ~int64]() *routeAverages[T] {
	return &routeAverages[T]{routes: make(map[string]T)}
}

// add updates the average of the route. A new route is ignored if maxAveragedRoutes is reached.
func (a *routeAverages[T]) add(route string, value T) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, found := a.routes[route]
	if found || len(a.routes) < maxAveragedRoutes {
		a.routes[route] = smooth(old, value)
	}
}

// of returns the average of the route, 0 if it has none.
func (a *routeAverages[T]) of(route string) T {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routes[route]
}
