package distribution

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/chunk"
	"github.com/sardinereach/sardinereach/internal/config"
)

// documentOffer holds the configuration documents of the response to a pull. They are merged together, when this node has the
// chunks of all of them.
type documentOffer struct {
	from      delivery
	response  *peerv1.PullResponse
	documents []config.Document
	// manifests are those of the documents that were sent without their values, by the index in documents.
	manifests map[int]chunk.Manifest
}

// newDocumentOffer returns the offer of the response, and the documents of other prefixes.
func newDocumentOffer(response *peerv1.PullResponse, from delivery) (*documentOffer, []config.Document, error) {
	offer := &documentOffer{from: from, response: response, manifests: map[int]chunk.Manifest{}}
	var others []config.Document
	for _, message := range response.GetDocuments() {
		document := decodeDocument(message)
		if !strings.HasPrefix(document.Key, ConfigPrefix) {
			others = append(others, document)
			continue
		}
		if data := message.GetManifest(); len(data) > 0 {
			manifest, err := chunk.DecodeManifest(data)
			if err == nil && len(manifest) > maxManifestChunks {
				err = errors.Errorf("%d chunks, limit %d", len(manifest), maxManifestChunks)
			}
			if err != nil {
				return nil, others, errors.Wrapf(err, "manifest of %s", document.Key)
			}
			offer.manifests[len(offer.documents)] = manifest
		}
		offer.documents = append(offer.documents, document)
	}
	return offer, others, nil
}

// missingChunks returns the chunks that this node lacks for the documents of the offer. The caller holds d.mu.
func (d *Distributor) missingChunks(offer *documentOffer) []chunk.ID {
	now := d.options.Now()
	var missing []chunk.ID
	for i, manifest := range offer.manifests {
		document := offer.documents[i]
		current, ok := d.tables.config.Get(document.Key)
		if document.Revision <= max(d.tables.config.Complete(), current.Revision) {
			continue
		}
		if ok && !current.Deleted {
			// The current revision of the document has most of the chunks.
			d.chunks.manifest(current, now)
		}
		missing = append(missing, d.chunks.missing(manifest, now)...)
	}
	return missing
}

// applyOffer merges the documents of an offer that lacks no chunks. The caller holds d.mu.
func (d *Distributor) applyOffer(offer *documentOffer) {
	for i, manifest := range offer.manifests {
		if len(d.chunks.missing(manifest, d.options.Now())) == 0 {
			offer.documents[i].Value = d.chunks.assemble(manifest)
		}
	}
	previousRevision := d.tables.config.Revision()
	d.applyDocuments(offer.documents, offer.from)
	d.expect(offer.response.GetNewestDocument())
	d.advance(ConfigPrefix, offer.response.GetDocumentRevision())
	d.recordConfirmation(offer.response, offer.from.startedAt)
	d.continueFrom(offer.response)
	d.signalNewDocuments(previousRevision, offer.from.address)
}

// expect records the newest revision that a peer has heard of. Until this node is complete up to it, the peer's documents are on their
// way. The caller holds d.mu.
func (d *Distributor) expect(newest int64) {
	if newest > d.tables.config.Newest() {
		d.tables.config.Expect(newest)
		d.publisher.documentsChanged = true
	}
}
