package distribution

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/model"
)

// applyDocuments merges documents of any prefix. All documents of a prefix are merged in one call, because a range and
// the documents after it belong together. The caller holds d.mu.
func (d *Distributor) applyDocuments(documents []config.Document, from delivery) {
	for _, prefix := range []string{ConfigPrefix, EjectionPrefix, QuarantinePrefix} {
		d.applyPrefix(prefix, documents, from)
	}
}

func (d *Distributor) applyPrefix(prefix string, documents []config.Document, from delivery) {
	table := d.tables.table(prefix)
	complete := int64(0)
	var matching []config.Document
	for _, document := range documents {
		switch {
		case d.tables.table(document.Key) != table:
		case isMarker(document, prefix):
			complete = document.Revision
		default:
			matching = append(matching, document)
		}
	}
	if len(matching) > 0 {
		base := table.DeletionHorizon()
		d.reportApplied(prefix, table.Apply(matching), table.DeletionHorizon() > base, from)
	}
	d.advance(prefix, complete)
}

// applyList merges a complete list of the documents of a prefix at a store revision.
func (d *Distributor) applyList(prefix string, documents []config.Document, revision int64, from delivery) {
	table := d.tables.table(prefix)
	before := table.Complete()
	d.reportApplied(prefix, table.ApplyList(documents, revision), true, from)
	if table.Complete() > before {
		d.markAdvanced(prefix)
	}
}

// advance marks the table of the prefix as complete up to the revision.
func (d *Distributor) advance(prefix string, revision int64) {
	table := d.tables.table(prefix)
	if revision > table.Complete() {
		table.Advance(revision)
		d.markAdvanced(prefix)
	}
}

// markAdvanced schedules the new completeness for the next snapshot and for the peers.
func (d *Distributor) markAdvanced(prefix string) {
	if auxiliary := d.tables.auxiliary(prefix); auxiliary != nil {
		auxiliary.recordAdvance(d.tables.members)
		d.recordStoreEra(auxiliary.table.Complete())
		return
	}
	d.publisher.documentsChanged = true
}

// reportApplied reports the changed documents and schedules them for the next snapshot and for the peers. rangeChanged
// means that the table received deletions that have no document of their own.
func (d *Distributor) reportApplied(prefix string, changed []config.Document, rangeChanged bool, from delivery) {
	auxiliary := d.tables.auxiliary(prefix)
	if auxiliary != nil && rangeChanged {
		auxiliary.recordRange(d.tables.members)
	}
	if len(changed) == 0 {
		return
	}
	if auxiliary != nil {
		auxiliary.recordChanges(changed, d.tables.members)
	}
	d.publisher.documentsChanged = true
	for _, document := range changed {
		d.options.Report(d.documentEvent(document, from))
	}
	if prefix == ConfigPrefix {
		d.reportUnknownKinds(changed)
		d.reportRejected()
		d.reportUnsupportedRoutes(changed)
		d.reportAccounts(changed, from)
	}
}

// documentEvent returns the event DocumentApplied of a document.
func (d *Distributor) documentEvent(document config.Document, from delivery) Event {
	now := d.options.Now()
	return Event{
		Kind: DocumentApplied, Key: document.Key, Revision: document.Revision, Address: from.address,
		Duration: from.answeredAt - from.startedAt, Age: age(now, d.confirmation.newest()),
		Wait: now - from.answeredAt, Bytes: int64(len(document.Value)),
	}
}

// reportUnknownKinds reports the changed documents that have no effect because this build does not know their kind.
func (d *Distributor) reportUnknownKinds(changed []config.Document) {
	for _, document := range changed {
		if !document.Deleted && !config.IsKnownKind(document.Key) {
			d.options.Report(Event{Kind: KindUnknown, Key: document.Key, Revision: document.Revision})
		}
	}
}

// reportUnsupportedRoutes reports the routes of the changed documents that this build cannot serve.
func (d *Distributor) reportUnsupportedRoutes(changed []config.Document) {
	snapshot := d.tables.config.Snapshot()
	for _, document := range changed {
		service := snapshot.Services[model.ServiceName(strings.TrimPrefix(document.Key, config.ServicePrefix))]
		if service == nil || snapshot.Revisions[service.Name] != document.Revision {
			continue
		}
		if service.Unsupported != "" {
			d.reportUnsupportedRoute(document, allRoutes, service.Unsupported)
			continue
		}
		for _, route := range service.UnsupportedRoutes() {
			d.reportUnsupportedRoute(document, route.Host+route.Path, route.Unsupported)
		}
	}
}

// allRoutes is the Event.Route of a service of which all routes are unsupported.
const allRoutes = "*"

func (d *Distributor) reportUnsupportedRoute(document config.Document, route, reason string) {
	d.options.Report(Event{
		Kind: RouteUnsupported, Key: document.Key, Revision: document.Revision, Route: route, Err: errors.New(reason),
	})
}

// reportRejected reports each revision of an invalid document once.
func (d *Distributor) reportRejected() {
	rejected := d.tables.config.Snapshot().Rejected
	for key := range d.reportedRejections {
		if _, stillRejected := rejected[key]; !stillRejected {
			delete(d.reportedRejections, key)
		}
	}
	for key, rejection := range rejected {
		if d.reportedRejections[key] == rejection.Revision {
			continue
		}
		d.reportedRejections[key] = rejection.Revision
		d.options.Report(Event{Kind: DocumentRejected, Key: key, Revision: rejection.Revision, Err: rejection.Err})
	}
}
