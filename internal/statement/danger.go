package statement

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// UnknownCapacity is the capacity to pass to Dangers if no target of the service is known.
const UnknownCapacity = -1

// Dangers returns the effects of a change that the operator must confirm before it is applied, one sentence each. A nil
// service is one that is not declared. capacity is the number of slots of all targets of the service, or
// UnknownCapacity.
func Dangers(from, to *declaration.Service, capacity int) []string {
	if to == nil {
		return removalDangers(from)
	}
	var dangers []string
	if capacity != UnknownCapacity && to.FloorSlots > capacity {
		text := fmt.Sprintf("the floor of %d slots is above the capacity of %d slots, so that nothing can be ejected or drained", to.FloorSlots, capacity)
		dangers = append(dangers, text)
	}
	if from == nil {
		return dangers
	}
	before, after := newRouteTable(from), newRouteTable(to)
	dangers = append(dangers, classDangers(before, after)...)
	return append(dangers, accessDangers(before, after)...)
}

func removalDangers(from *declaration.Service) []string {
	if from == nil || len(from.Routes) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("the removal of service %s with its routes (%d) refuses their requests from then on", from.Name, len(from.Routes))}
}
