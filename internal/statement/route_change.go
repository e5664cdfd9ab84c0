package statement

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
)

// changedRequests returns a sentence for each host and path at which changed reports requests of a method. It compares the routes at
// the host and path of every old and new route: a new route may also take over requests of a broader route, and the requests of
// a removed route may fall back to a broader route. Requests that match no route before or after the change are left out.
func changedRequests(before, after *routeTable, changed func(before, after *declaration.Route, method string) bool, sentence func(requests string) string) []string {
	var sentences []string
	seen := make(map[hostPath]bool)
	for _, route := range append(before.list[:len(before.list):len(before.list)], after.list...) {
		key := hostPath{route.Host, trimTrailingSlash(route.Path)}
		if seen[key] {
			continue
		}
		seen[key] = true
		var methods []string
		for _, method := range before.methods {
			from, to := before.find(key, method), after.find(key, method)
			if from != nil && to != nil && changed(from, to, method) {
				methods = append(methods, method)
			}
		}
		if len(methods) > 0 {
			affected := declaration.Route{Host: route.Host, Path: route.Path, Methods: methods}
			sentences = append(sentences, sentence(routeHead(&affected)))
		}
	}
	return sentences
}
