package distribution

import "github.com/sardinereach/sardinereach/internal/config"

// applyDocuments merges documents of any prefix. Each prefix is merged at once, because a range and the documents
// after it belong together.
func (d *Distributor) applyDocuments(documents []config.Document) {
	for _, prefix := range []string{ConfigPrefix, EjectionPrefix, QuarantinePrefix} {
		table := d.tables.table(prefix)
		var own []config.Document
		for _, document := range documents {
			if d.tables.table(document.Key) == table {
				own = append(own, document)
			}
		}
		if len(own) > 0 {
			d.applied(prefix, table.Apply(own))
		}
	}
}

// applyList merges a complete list of a prefix at a revision.
func (d *Distributor) applyList(prefix string, documents []config.Document, revision int64) {
	d.applied(prefix, d.tables.table(prefix).ApplyList(documents, revision))
	d.publisher.documents = true
}

// advance states that the table of the prefix is complete up to the revision.
func (d *Distributor) advance(prefix string, revision int64) {
	table := d.tables.table(prefix)
	if revision > table.Complete() {
		table.Advance(revision)
		d.publisher.documents = true
	}
}

// applied reports the changed documents and marks them for the snapshot and the peers.
func (d *Distributor) applied(prefix string, changed []config.Document) {
	if len(changed) == 0 {
		return
	}
	d.tables.mark(prefix, changed)
	d.publisher.documents = true
	for _, document := range changed {
		d.options.Report(Event{Kind: DocumentApplied, Key: document.Key, Revision: document.Revision})
	}
	if prefix == ConfigPrefix {
		d.reportRejected()
	}
}

// reportRejected reports each bad document once.
func (d *Distributor) reportRejected() {
	rejected := d.tables.config.Snapshot().Rejected
	for key := range d.reported {
		if _, still := rejected[key]; !still {
			delete(d.reported, key)
		}
	}
	for key, rejection := range rejected {
		if d.reported[key] == rejection.Revision {
			continue
		}
		d.reported[key] = rejection.Revision
		d.options.Report(Event{Kind: DocumentRejected, Key: key, Revision: rejection.Revision, Err: rejection.Err})
	}
}
