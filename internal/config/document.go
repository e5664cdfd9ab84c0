package config

// Document is one document of the store at one revision. Published documents are immutable.
type Document struct {
	Key   string
	Value []byte
	// Revision is the store revision of the change, or of the list that lacked a deleted key.
	Revision int64
	// Deleted means that the key does not exist at Revision. A key that ends in "/" is a range: Value lists the existing
	// keys with that prefix, one per line. Every other key with the prefix that was last changed at or before Revision
	// does not exist.
	Deleted bool
}

// isRange reports whether the document represents the deletions under a prefix.
func (d Document) isRange() bool {
	return d.Deleted && len(d.Key) > 0 && d.Key[len(d.Key)-1] == '/'
}
