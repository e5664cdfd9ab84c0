package settings

// Operators configures access to the operators' listener.
type Operators struct {
	// Token is the token that operators must present. It may be empty only if the listener's address is loopback.
	Token string
}
