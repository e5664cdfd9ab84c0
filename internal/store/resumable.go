package store

// Resumable is a Store that reads documents from a value with a history of its own, so that the revisions of the documents do not
// say where their next watch continues. A node that has received the documents from another node can continue from that node's
// position, in place of reading the complete value again.
type Resumable interface {
	Store
	// ReadUpTo returns the position up to which the value was read, and the highest revision of the documents up to there.
	// The position is 0 before the first read.
	ReadUpTo() (position, revision int64)
	// ContinueFrom lets the next watch continue from a position that ReadUpTo has returned on another node, unless this one
	// has read further. The caller must have the documents up to the revision.
	ContinueFrom(position, revision int64)
}
