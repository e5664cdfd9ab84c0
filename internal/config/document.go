package config

// Document is one document of the store at one revision. Published documents are never changed.
type Document struct {
	Key   string
	Value []byte
	// Revision is the store revision of the change, or of the list that showed the deletion.
	Revision int64
	// Deleted means that the key does not exist at Revision. A key that ends in "/" is a range: every key that begins
	// with it, was last changed at or before Revision and is not named in Value (one key a line) does not exist.
	Deleted bool
}

// isRange reports whether the document stands for the deletions of a whole prefix.
func (d Document) isRange() bool {
	return d.Deleted && len(d.Key) > 0 && d.Key[len(d.Key)-1] == '/'
}
