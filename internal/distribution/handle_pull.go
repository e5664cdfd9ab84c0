package distribution

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// HandlePull answers a Pull of another node: the records and documents that it does not have, cut at the limits of
// Options.
func (d *Distributor) HandlePull(request *peerv1.PullRequest) *peerv1.PullResponse {
	response := d.answerPull(request)
	d.publish()
	return response
}

func (d *Distributor) answerPull(request *peerv1.PullRequest) *peerv1.PullResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.GetSelf() != nil {
		d.mergeState(request.Self)
	}
	d.noteAhead(request)
	response := &peerv1.PullResponse{Incarnation: uint64(d.options.Self.Incarnation), Cursor: request.GetCursor()}
	d.answerConfig(request, response)
	if request.GetCursor() != documentsOnly {
		d.answerChanges(request, response)
	}
	return response
}

// answerConfig adds the configuration documents after the caller's revision.
func (d *Distributor) answerConfig(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	documents, complete := d.tables.config.Page(request.GetDocumentRevision(), d.options.MaxPullBytes)
	response.DocumentRevision = complete
	for _, document := range documents {
		response.Documents = append(response.Documents, documentMessage(document))
	}
}

// answerChanges adds the records and the auxiliary documents after the caller's cursor.
func (d *Distributor) answerChanges(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	cursor := request.GetCursor()
	known := request.GetIncarnation() == uint64(d.options.Self.Incarnation) && cursor != recentOnly
	d.answerAuxiliary(cursor, known, response)
	if !known && cursor != 0 {
		// The caller has the older records from others, or from this node's earlier incarnation.
		cursor = d.tables.members.RecentCursor()
		response.Nodes = append(response.Nodes, stateOf(d.tables.members.FullUpdate()))
	}
	updates, next := d.tables.members.Since(cursor, d.options.MaxPullRecords, d.skip(request, cursor))
	for _, update := range updates {
		response.Nodes = append(response.Nodes, stateOf(update))
	}
	response.Cursor = next
}

// answerAuxiliary adds the permit and quarantine documents, all of them unless the caller's cursor is known here.
func (d *Distributor) answerAuxiliary(cursor uint64, known bool, response *peerv1.PullResponse) {
	if !known {
		cursor = 0
	}
	for _, auxiliary := range []*auxiliary{d.tables.ejections, d.tables.quarantine} {
		for _, document := range auxiliary.after(cursor) {
			message := documentMessage(document)
			message.AgeMs = d.ages.age(document.Key, d.options.Now()).Milliseconds()
			response.Documents = append(response.Documents, message)
		}
	}
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
