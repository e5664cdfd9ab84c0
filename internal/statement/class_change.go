package statement

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// classDangers lists the requests that change from non-idempotent to idempotent, because the fleet may then run one of
// them more than once.
func classDangers(before, after *routeTable) []string {
	return changedRequests(before, after, func(before, after *declaration.Route, method string) bool {
		return before.ClassOf(method) == declaration.NonIdempotent && after.ClassOf(method) == declaration.Idempotent
	}, classDanger)
}

func classDanger(requests string) string {
	return fmt.Sprintf("%s changes from non-idempotent to idempotent, so that a request may run more than once", requests)
}
