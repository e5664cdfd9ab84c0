package distribution

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/store"
)

// encodePosition returns the position up to which this node has read the configuration from the store, 0 if there is none or the
// documents in a response that is complete up to the revision do not reach it.
func (d *Distributor) encodePosition(complete int64) int64 {
	resumable, ok := d.options.Store.(store.Resumable)
	if !ok {
		return 0
	}
	position, revision := resumable.ReadUpTo()
	if revision > complete {
		return 0
	}
	return position
}

// continueFrom lets the reads of the store continue where the responding node has read up to, so that a node that starts or
// stands in does not read the complete configuration again. The caller holds d.mu and has merged the documents of the response.
func (d *Distributor) continueFrom(response *peerv1.PullResponse) {
	resumable, ok := d.options.Store.(store.Resumable)
	if position := response.GetStorePosition(); ok && position > 0 && response.GetDocumentRevision() <= d.tables.config.Complete() {
		resumable.ContinueFrom(position, response.GetDocumentRevision())
	}
}
