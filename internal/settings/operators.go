package settings

// Operators protects the operators' listener.
type Operators struct {
	// Token is what operators must present. It is empty only on a loopback listener, where no token is needed.
	Token string
}
