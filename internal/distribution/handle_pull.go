package distribution

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/model"
)

// HandlePull answers a Pull of another node: the records and documents that it does not have, cut at the limits of
// Options.
func (d *Distributor) HandlePull(request *peerv1.PullRequest) *peerv1.PullResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.GetSelf() != nil {
		d.mergeState(request.Self)
	}
	response := &peerv1.PullResponse{Incarnation: uint64(d.options.Self.Incarnation), Cursor: request.GetCursor()}
	d.answerConfig(request, response)
	if request.GetCursor() != documentsOnly {
		d.answerChanges(request, response)
	}
	return response
}

// answerConfig adds the configuration documents after the caller's revision. A cut answer is complete up to the last
// document in it; it is never cut between documents of one revision, because the rest would be skipped.
func (d *Distributor) answerConfig(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	response.DocumentRevision = d.tables.config.Complete()
	size := 0
	last := int64(0)
	for _, document := range d.tables.config.Since(request.GetDocumentRevision()) {
		if size >= d.options.MaxPullBytes && document.Revision > last {
			response.DocumentRevision = min(response.DocumentRevision, last)
			return
		}
		size += documentSize(document)
		response.Documents = append(response.Documents, documentMessage(document))
		if document.Key != ConfigPrefix {
			last = document.Revision
		}
	}
}

// documentOverhead is the size of a document message without its key and value, in bytes.
const documentOverhead = 16

func documentSize(d config.Document) int { return len(d.Key) + len(d.Value) + documentOverhead }

// answerChanges adds the records and the auxiliary documents after the caller's cursor.
func (d *Distributor) answerChanges(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	cursor := request.GetCursor()
	if request.GetIncarnation() != uint64(d.options.Self.Incarnation) {
		cursor = 0
	}
	for _, auxiliary := range []*auxiliary{d.tables.ejections, d.tables.quarantine} {
		for _, document := range auxiliary.after(cursor) {
			response.Documents = append(response.Documents, documentMessage(document))
		}
	}
	updates, next := d.tables.members.Since(cursor, d.options.MaxPullRecords, d.skip(request, cursor))
	for _, update := range updates {
		response.Nodes = append(response.Nodes, stateOf(update))
	}
	response.Cursor = next
}

// skip returns which records the caller does not need: its own and, if it is of another region and has pulled here
// before, those of its region, which it learns there without the link between the regions.
func (d *Distributor) skip(request *peerv1.PullRequest, cursor uint64) func(*model.NodeRecord) bool {
	caller := model.NodeID(request.GetNode())
	region := d.options.Self.Region
	if member, ok := d.tables.members.Get(caller); ok {
		region = member.Record.Region
	}
	remote := region != d.options.Self.Region && cursor != 0
	return func(record *model.NodeRecord) bool {
		return record.ID == caller || remote && record.Region == region
	}
}
