package headers

// Action is what happens to a header on one leg.
type Action uint8

const (
	// Forward passes the header on as it was sent, unless the Connection header names it.
	Forward Action = iota
	// Keep passes the header on under its exact name only, also if the Connection header names it.
	Keep
	// Remove does not pass the header on.
	Remove
)
