package config

// Rejection reports why the newest document of a key is not active.
type Rejection struct {
	Key      string
	Revision int64
	Err      error
	// ActiveRevision is the revision of the last document that could be read, which stays active; 0 if there is none.
	ActiveRevision int64
}
