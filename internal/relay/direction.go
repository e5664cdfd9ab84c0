package relay

// Direction is one direction of a connection.
type Direction uint8

const (
	// Forward is from the side that opened the connection to the relay's target.
	Forward Direction = iota
	// Backward is from the target to the side that opened the connection.
	Backward
)

const numDirections = 2
