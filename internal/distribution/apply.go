package distribution

import "github.com/sardinereach/sardinereach/internal/config"

// applyDocuments merges documents of any prefix. Each prefix is merged at once, because a range and the documents
// after it belong together.
func (d *Distributor) applyDocuments(documents []config.Document) {
	for _, prefix := range []string{ConfigPrefix, EjectionPrefix, QuarantinePrefix} {
		d.applyPrefix(prefix, documents)
	}
}

func (d *Distributor) applyPrefix(prefix string, documents []config.Document) {
	table := d.tables.table(prefix)
	complete := int64(0)
	var own []config.Document
	for _, document := range documents {
		switch {
		case d.tables.table(document.Key) != table:
		case isMarker(document, prefix):
			complete = document.Revision
		default:
			own = append(own, document)
		}
	}
	if len(own) > 0 {
		base := table.DeletionHorizon()
		d.applied(prefix, table.Apply(own), table.DeletionHorizon() > base)
	}
	d.advance(prefix, complete)
}

// applyList merges a complete list of a prefix at a revision.
func (d *Distributor) applyList(prefix string, documents []config.Document, revision int64) {
	table := d.tables.table(prefix)
	before := table.Complete()
	d.applied(prefix, table.ApplyList(documents, revision), true)
	if table.Complete() > before {
		d.advanced(prefix)
	}
}

// advance states that the table of the prefix is complete up to the revision.
func (d *Distributor) advance(prefix string, revision int64) {
	table := d.tables.table(prefix)
	if revision > table.Complete() {
		table.Advance(revision)
		d.advanced(prefix)
	}
}

// advanced marks the new completeness for the snapshot and the peers.
func (d *Distributor) advanced(prefix string) {
	if auxiliary := d.tables.auxiliary(prefix); auxiliary != nil {
		auxiliary.markAdvance(d.tables.members)
		return
	}
	d.publisher.documents = true
}

// applied reports the changed documents and marks them for the snapshot and the peers. ranged says that the table has
// learned of deletions without a document.
func (d *Distributor) applied(prefix string, changed []config.Document, ranged bool) {
	auxiliary := d.tables.auxiliary(prefix)
	if auxiliary != nil && ranged {
		auxiliary.markRange(d.tables.members)
	}
	if len(changed) == 0 {
		return
	}
	if auxiliary != nil {
		auxiliary.mark(changed, d.tables.members)
	}
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
