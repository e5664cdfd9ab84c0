package distribution

import (
	"context"
	"slices"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// maxAheadCallers limits the queue of callers to pull from because they have newer documents. When it is full, newer
// documents arrive with the regular rounds.
const maxAheadCallers = 64

// propagation delivers a new configuration to the nodes of a failure domain without waiting for the regular rounds,
// which would take up to three intervals. A node that received it from the store or from another domain pulls from its
// neighbors. From that pull each neighbor detects that the caller has newer documents, and pulls from the caller in
// turn.
type propagation struct {
	// newDocuments has a message while pulls from the neighbors are due because of new documents.
	newDocuments chan struct{}
	// aheadCallers holds the addresses of callers that have newer documents.
	aheadCallers chan string
}

func newPropagation() propagation {
	return propagation{newDocuments: make(chan struct{}, 1), aheadCallers: make(chan string, maxAheadCallers)}
}

func (d *Distributor) runPropagation(ctx context.Context) {
	for {
		select {
		case <-d.propagation.newDocuments:
			for _, address := range d.neighbors() {
				d.startPull(ctx, address)
			}
		case address := <-d.propagation.aheadCallers:
			d.startPull(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Distributor) neighbors() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentView().Neighbors()
}

// signalNewDocuments triggers pulls from the neighbors if a call to the address increased the configuration revision
// above previousRevision. The address is "" for the store. Documents from a neighbor trigger nothing: that neighbor
// propagates them itself. The caller holds d.mu.
func (d *Distributor) signalNewDocuments(previousRevision int64, address string) {
	if d.tables.config.Revision() <= previousRevision || slices.Contains(d.currentView().Neighbors(), address) {
		return
	}
	signal(d.propagation.newDocuments)
}

// queueAheadCaller queues a pull from a caller that has newer documents. The caller of the method holds d.mu.
func (d *Distributor) queueAheadCaller(request *peerv1.PullRequest) {
	if request.GetNewestDocument() <= d.tables.config.Revision() {
		return
	}
	member, ok := d.tables.members.Get(model.NodeID(request.GetNode()))
	if !ok {
		return
	}
	select {
	case d.propagation.aheadCallers <- member.Record.PeerAddress:
	default:
	}
}
