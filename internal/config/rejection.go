package config

// Rejection says why the newest document of a key is not in force.
type Rejection struct {
	Key      string
	Revision int64
	Err      error
	// InForce is the revision of the last good document, which stays in force; 0 if there is none.
	InForce int64
}
