package membership

// State is the liveness of a member as observed by this node.
type State uint8

const (
	// Alive means that the member's heartbeat grew within Timing.SuspectAfter.
	Alive State = iota
	// Suspected means that the heartbeat has not grown for Timing.SuspectAfter.
	Suspected
	// Dead means that the heartbeat has not grown for Timing.DeadAfter.
	Dead
)

var stateNames = [...]string{"alive", "suspected", "dead"}

// String returns the form used in the operators' API.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}
