package distribution

import (
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Snapshot is the cached state of a node at one moment. It is not modified after it was published.
type Snapshot struct {
	Config  *config.Snapshot
	Members *membership.Snapshot
	// Ejections are the permit documents by service, and Quarantine the quarantine documents by fingerprint, as stored.
	// Deleted ones are omitted.
	Ejections  map[string]config.Document
	Quarantine map[string]config.Document
	// StoreEra is the newest era of the store that the node has received. It grows when the store comes back from an
	// older copy.
	StoreEra int64
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
