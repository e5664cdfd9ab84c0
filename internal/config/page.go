package config

// documentOverhead is the size of a document message without its key and value, in bytes.
const documentOverhead = 16

func (d Document) size() int { return len(d.Key) + len(d.Value) + documentOverhead }

// Page returns the first documents of Since, truncated when they reach maxBytes. It also returns a second revision: a
// table that is complete up to revision and applies the page is complete up to the second one. Page never splits the
// documents of one revision, because the next page would skip the remaining ones.
func (t *Table) Page(revision int64, maxBytes int) ([]Document, int64) {
	documents := t.Since(revision)
	size := 0
	for i, document := range documents {
		if size >= maxBytes && i > 0 && !documents[i-1].isRange() && documents[i-1].Revision < document.Revision {
			return documents[:i], min(t.completeForPeers, documents[i-1].Revision)
		}
		size += document.size()
	}
	return documents, t.completeForPeers
}
