package distribution

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/model"
)

// HandlePull responds to a Pull of another node with the records and documents that the caller does not have, up to the
// size limits of Options.
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
	d.queueAheadCaller(request)
	response := &peerv1.PullResponse{Incarnation: uint64(d.options.Self.Incarnation), Cursor: request.GetCursor()}
	response.CallerDepartures = encodeDepartures(d.tables.members.Departures(model.NodeID(request.GetNode())))
	response.KnowsDepartures = d.departures.ofFleet
	d.answerConfig(request, response)
	if request.GetCursor() != cursorDocumentsOnly {
		d.answerChanges(request, response)
	}
	return response
}

// answerConfig adds the configuration documents after the caller's revision.
func (d *Distributor) answerConfig(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	documents, complete := d.tables.config.Page(request.GetDocumentRevision(), d.options.MaxPullBytes)
	response.DocumentRevision = complete
	response.NewestDocument = d.tables.config.Newest()
	response.StorePosition = d.encodePosition(complete)
	response.ConfirmationAgeMs = d.encodeConfirmation(complete)
	response.StoreAttemptAgeMs = d.encodeAttempt(model.NodeID(request.GetNode()))
	manifests := request.GetAcceptsManifests() && valueBytes(documents) >= manifestsFromBytes
	for _, document := range documents {
		response.Documents = append(response.Documents, d.encodeConfig(document, manifests))
	}
}

// valueBytes returns the size of the values of the documents.
func valueBytes(documents []config.Document) int {
	size := 0
	for _, document := range documents {
		size += len(document.Value)
	}
	return size
}

// encodeConfig returns the wire form of a configuration document, with a manifest in place of its value if manifests is set.
func (d *Distributor) encodeConfig(document config.Document, manifests bool) *peerv1.Document {
	message := encodeDocument(document)
	if manifests && !document.Deleted && len(document.Value) >= manifestMinBytes {
		message.Value = nil
		message.Manifest = d.chunks.manifest(document, d.options.Now()).Encode()
	}
	return message
}

// answerChanges adds the records and the auxiliary documents after the caller's cursor.
func (d *Distributor) answerChanges(request *peerv1.PullRequest, response *peerv1.PullResponse) {
	cursor := request.GetCursor()
	cursorValid := request.GetIncarnation() == uint64(d.options.Self.Incarnation) && cursor != cursorRecentOnly
	d.answerAuxiliary(cursor, cursorValid, response)
	if !cursorValid && cursor != 0 {
		// The caller has received the older records from other nodes, or from an earlier incarnation of this node.
		cursor = d.tables.members.RecentCursor()
		response.Nodes = append(response.Nodes, encodeUpdate(d.tables.members.FullUpdate()))
	}
	updates, next := d.tables.members.Since(cursor, d.options.MaxPullRecords, d.skipRecords(request, cursor))
	for _, update := range updates {
		response.Nodes = append(response.Nodes, encodeUpdate(update))
	}
	response.Cursor = next
}

// answerAuxiliary adds the permit and quarantine documents after the cursor, or all of them if the cursor is not valid
// here.
func (d *Distributor) answerAuxiliary(cursor uint64, cursorValid bool, response *peerv1.PullResponse) {
	if !cursorValid {
		cursor = 0
	}
	for _, auxiliary := range []*auxiliaryTable{d.tables.ejections, d.tables.quarantine} {
		for _, document := range auxiliary.documentsAfter(cursor) {
			message := encodeDocument(document)
			message.AgeMs = d.ages.age(document.Key, d.options.Now()).Milliseconds()
			response.Documents = append(response.Documents, message)
		}
	}
}

// skipRecords returns a function that reports whether the caller does not need a record: the caller's own record and,
// if the caller is in another region and has pulled here before, the records of its region. It receives those inside
// its region, without using the link between the regions.
func (d *Distributor) skipRecords(request *peerv1.PullRequest, cursor uint64) func(*model.NodeRecord) bool {
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
