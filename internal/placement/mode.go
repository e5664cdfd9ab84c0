package placement

// Mode is the condition of an admission request.
type Mode uint8

const (
	// IdleOnly requests a slot that is free now.
	IdleOnly Mode = iota
	// Queue requests a slot and waits in the queue of the target for it.
	Queue
	// LastResort requests admission at a target whose circuit breaker is half-open, because no other target admits the
	// request.
	LastResort
)

var modeNames = [...]string{"idle only", "queue", "last resort"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }
