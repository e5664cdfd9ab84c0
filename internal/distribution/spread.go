package distribution

import (
	"context"
	"slices"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// maxBehind bounds the callers that wait to be pulled from because they hold newer documents. More are left to the rounds.
const maxBehind = 64

// spread lets a new configuration reach the nodes of a failure domain at once: the node that learns of it from the store or
// from another domain pulls from its neighbors, and each of them finds by that call that the caller is ahead and pulls in
// turn. The rounds alone would take up to three intervals.
type spread struct {
	// news has a message while the neighbors are to be told of new documents.
	news chan struct{}
	// ahead holds the addresses of callers that hold newer documents.
	ahead chan string
}

func newSpread() spread {
	return spread{news: make(chan struct{}, 1), ahead: make(chan string, maxBehind)}
}

func (d *Distributor) runSpread(ctx context.Context) {
	for {
		select {
		case <-d.spread.news:
			for _, address := range d.neighbors() {
				d.startPull(ctx, address)
			}
		case address := <-d.spread.ahead:
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

// noteNews tells the neighbors if the configuration has grown past the revision by a call to the address, "" for the store.
// News from a neighbor are left to that neighbor. d.mu is held.
func (d *Distributor) noteNews(before int64, address string) {
	if d.tables.config.Revision() <= before || slices.Contains(d.currentView().Neighbors(), address) {
		return
	}
	signal(d.spread.news)
}

// noteAhead remembers a caller that holds newer documents. d.mu is held.
func (d *Distributor) noteAhead(request *peerv1.PullRequest) {
	if request.GetNewestDocument() <= d.tables.config.Revision() {
		return
	}
	member, ok := d.tables.members.Get(model.NodeID(request.GetNode()))
	if !ok {
		return
	}
	select {
	case d.spread.ahead <- member.Record.PeerAddress:
	default:
	}
}
