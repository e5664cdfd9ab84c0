package config

// documentOverhead is the size of a document message without its key and value, in bytes.
const documentOverhead = 16

func (d Document) size() int { return len(d.Key) + len(d.Value) + documentOverhead }

// Page returns the first documents of Since, cut when they reach maxBytes, and the revision up to which a table is
// complete that was complete up to revision and applies them. It never cuts between documents of one revision, because
// the rest would be skipped by the next page.
func (t *Table) Page(revision int64, maxBytes int) ([]Document, int64) {
	documents := t.Since(revision)
	size := 0
	for i, document := range documents {
		if size >= maxBytes && i > 0 && !documents[i-1].isRange() && documents[i-1].Revision < document.Revision {
			return documents[:i], min(t.proven, documents[i-1].Revision)
		}
		size += document.size()
	}
	return documents, t.proven
}
