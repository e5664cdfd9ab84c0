package capacity

import "strings"

// Reasons is the set of reasons for which a target is excluded. The zero value means that it is not excluded.
type Reasons uint16

// Reasons that may be overridden to meet the capacity floor, from the least to the most severe.
const (
	// Suspected means that the failure detector of a node suspects the target.
	Suspected Reasons = 1 << iota
	// Ejected means that an entry of the permit document ejects the target.
	Ejected
	// Missing means that the announcement of the target is overdue.
	Missing
	// Unreachable means that the node has no working path to the admitting node of the target.
	Unreachable
)

// Reasons that are never overridden, because the target would refuse the requests.
const (
	// Starting means that the target does not accept requests yet.
	Starting Reasons = 1 << (iota + 8)
	// Draining means that the target, its node or an operator drains the target, so it accepts no new requests.
	Draining
	// Leaving means that the target is about to exit.
	Leaving
)

// final is the set of reasons that are never overridden.
const final = Starting | Draining | Leaving

var reasonNames = []struct {
	reason Reasons
	name   string
}{
	{Suspected, "suspected"}, {Ejected, "ejected"}, {Missing, "missing"}, {Unreachable, "unreachable"},
	{Starting, "starting"}, {Draining, "draining"}, {Leaving, "leaving"},
}

// Has reports whether r contains any of the given reasons.
func (r Reasons) Has(any Reasons) bool { return r&any != 0 }

// Final reports whether r contains a reason that is never overridden.
func (r Reasons) Final() bool { return r.Has(final) }

// String returns the names of the reasons, separated by commas, or "none".
func (r Reasons) String() string {
	var names []string
	for _, entry := range reasonNames {
		if r.Has(entry.reason) {
			names = append(names, entry.name)
		}
	}
	if names == nil {
		return "none"
	}
	return strings.Join(names, ",")
}
