package statement

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// accessDangers lists the requests that required an API key and become open to every caller.
func accessDangers(before, after *routeTable) []string {
	return changedRequests(before, after, func(before, after *declaration.Route, _ string) bool {
		return before.RequiresKey && !after.RequiresKey
	}, accessDanger)
}

func accessDanger(requests string) string {
	return fmt.Sprintf("%s no longer requires an API key, so that every caller may send it", requests)
}
