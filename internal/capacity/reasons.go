package capacity

import "strings"

// Reasons is the set of reasons for which a target is excluded. The zero value means that the target is in use.
type Reasons uint16

// Reasons that may be taken back, from the least bad to the worst.
const (
	// Suspected means that the detector of a node holds the target to be failing.
	Suspected Reasons = 1 << iota
	// Ejected means that an entry of the permit document ejects the target.
	Ejected
	// Missing means that the target has not announced itself in time.
	Missing
	// Unreachable means that the node has no working path to the admitting node of the target.
	Unreachable
)

// Reasons that are never taken back, because the target would refuse the work.
const (
	// Starting means that the target takes no work yet.
	Starting Reasons = 1 << (iota + 8)
	// Draining means that the target, its node or an operator lets no new work in.
	Draining
	// Leaving means that the target is about to exit.
	Leaving
)

// final holds the reasons that are never taken back.
const final = Starting | Draining | Leaving

var reasonNames = []struct {
	reason Reasons
	name   string
}{
	{Suspected, "suspected"}, {Ejected, "ejected"}, {Missing, "missing"}, {Unreachable, "unreachable"},
	{Starting, "starting"}, {Draining, "draining"}, {Leaving, "leaving"},
}

// Has reports whether r holds any of the given reasons.
func (r Reasons) Has(any Reasons) bool { return r&any != 0 }

// Final reports whether r holds a reason that is never taken back.
func (r Reasons) Final() bool { return r.Has(final) }

// String returns the names of the reasons, separated by commas, or "none".
func (r Reasons) String() string {
	var names []string
	for _, known := range reasonNames {
		if r.Has(known.reason) {
			names = append(names, known.name)
		}
	}
	if names == nil {
		return "none"
	}
	return strings.Join(names, ",")
}
