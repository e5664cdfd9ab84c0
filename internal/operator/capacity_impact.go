package operator

import "fmt"

// CapacityImpact is the effect of draining a target on the capacity of its service, in slots.
type CapacityImpact struct {
	// Usable is the healthy capacity before the drain.
	Usable int
	// AfterDrain is the healthy capacity that remains after the drain.
	AfterDrain int
	// Floor is the capacity floor that the service declares.
	Floor int
}

// BelowFloor reports whether the drain takes the service below its capacity floor, or further below it.
func (c CapacityImpact) BelowFloor() bool { return c.AfterDrain < c.Floor && c.AfterDrain < c.Usable }

// String formats the impact for an operator.
func (c CapacityImpact) String() string {
	return fmt.Sprintf("usable %d slots, %d after the drain, floor %d", c.Usable, c.AfterDrain, c.Floor)
}
