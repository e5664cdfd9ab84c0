package membership

// State is the liveness of a member as this node sees it.
type State uint8

const (
	// Alive means that the member's heartbeat grew lately.
	Alive State = iota
	// Suspected means that the heartbeat has been still for longer than Timing.Suspect.
	Suspected
	// Dead means that the heartbeat has been still for longer than Timing.Dead.
	Dead
)

var stateNames = [...]string{"alive", "suspected", "dead"}

// String returns the form used in operators' answers.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}
