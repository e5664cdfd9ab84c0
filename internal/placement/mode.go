package placement

// Mode says under which condition a target is asked to take a request.
type Mode uint8

const (
	// IdleOnly asks for a slot that is free now.
	IdleOnly Mode = iota
	// Queue also waits for a slot.
	Queue
	// LastResort asks a doubtful target to take the request because no other one does.
	LastResort
)

var modeNames = [...]string{"idle only", "queue", "last resort"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }
