package operator

import "fmt"

// Figures says what the drain of a target does to the capacity of its service, in slots.
type Figures struct {
	// Usable is the healthy capacity before the drain.
	Usable int
	// After is the healthy capacity that remains.
	After int
	// Floor is the floor that the service declares.
	Floor int
}

// BelowFloor reports whether the drain takes the service below its floor, or further below it.
func (f Figures) BelowFloor() bool { return f.After < f.Floor && f.After < f.Usable }

// String returns the figures for an operator.
func (f Figures) String() string {
	return fmt.Sprintf("usable %d slots, %d after the drain, floor %d", f.Usable, f.After, f.Floor)
}
