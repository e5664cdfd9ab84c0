package distribution

import (
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Snapshot is what the node knows at one moment. It is never changed after it was published.
type Snapshot struct {
	Config  *config.Snapshot
	Members *membership.Snapshot
	// Ejections are the permit documents by service, Quarantine the quarantine documents by fingerprint, as they are in
	// the store. Deleted ones are left out.
	Ejections  map[string]config.Document
	Quarantine map[string]config.Document
}

// documentsByName returns the existing documents of a table without the prefix of their keys.
func documentsByName(table *config.Table, prefix string) map[string]config.Document {
	documents := map[string]config.Document{}
	for _, document := range table.Since(0) {
		if !document.Deleted {
			documents[document.Key[len(prefix):]] = document
		}
	}
	return documents
}
