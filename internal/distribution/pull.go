package distribution

import (
	"context"
	"math"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Cursors with a special meaning. They are past every change log.
const (
	// documentsOnly asks for configuration documents alone.
	documentsOnly = math.MaxUint64
	// recentOnly asks for the records that changed lately, for a caller that takes part in the exchange and has the
	// others from its other partners. A whole table of the target scale is 10 MB.
	recentOnly = math.MaxUint64 - 1
)

// startPull pulls from the address unless a pull from it is under way.
func (d *Distributor) startPull(ctx context.Context, address string) {
	if !d.reservePeer(address) {
		return
	}
	d.pulls.Go(func() {
		defer d.releasePeer(address)
		_, _ = d.pullOnce(ctx, address)
	})
}

func (d *Distributor) reservePeer(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peer(address)
	if peer.inFlight || address == d.options.Self.PeerAddress {
		return false
	}
	peer.inFlight = true
	return true
}

func (d *Distributor) releasePeer(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer(address).inFlight = false
}

func (d *Distributor) peer(address string) *peerState {
	peer := d.peers[address]
	if peer == nil {
		peer = &peerState{}
		d.peers[address] = peer
	}
	peer.usedRound = d.round
	return peer
}

// pullOnce pulls everything new from the address. It reports whether the answer was cut or had documents, so that
// another Pull may bring more.
func (d *Distributor) pullOnce(ctx context.Context, address string) (more bool, err error) {
	request := d.pullRequest(address)
	started := d.options.Now()
	response, err := d.call(ctx, address, request)
	if err != nil {
		return false, err
	}
	more = d.applyPull(address, request, response, started)
	d.publish()
	return more, nil
}

// pullDocuments pulls configuration documents alone.
func (d *Distributor) pullDocuments(ctx context.Context, address string) (more bool, err error) {
	d.mu.Lock()
	request := &peerv1.PullRequest{
		Node:             string(d.options.Self.ID),
		Cursor:           documentsOnly,
		DocumentRevision: d.tables.config.Complete(),
	}
	d.mu.Unlock()
	started := d.options.Now()
	response, err := d.call(ctx, address, request)
	if err != nil {
		return false, err
	}
	d.mu.Lock()
	d.applyConfig(response, started)
	d.mu.Unlock()
	d.publish()
	return len(response.Documents) > 0, nil
}

func (d *Distributor) call(
	ctx context.Context, address string, request *peerv1.PullRequest,
) (*peerv1.PullResponse, error) {
	limited, cancel := context.WithTimeout(ctx, d.options.PullTimeout)
	defer cancel()
	response, err := d.options.Puller.Pull(limited, address, request)
	if err != nil {
		if ctx.Err() == nil {
			d.options.Report(Event{Kind: PullFailed, Address: address, Err: err})
		}
		return nil, err
	}
	d.mu.Lock()
	d.peerHeard = d.options.Now()
	d.mu.Unlock()
	return response, nil
}

func (d *Distributor) pullRequest(address string) *peerv1.PullRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peer(address)
	record := d.tables.members.Self()
	light := peer.selfVersion == record.Version && peer.pulls < fullSelfPulls
	peer.pulls++
	return &peerv1.PullRequest{
		Node:             string(record.ID),
		Incarnation:      peer.incarnation,
		Cursor:           d.cursor(peer),
		DocumentRevision: d.tables.config.Complete(),
		Self:             stateOf(membership.Update{Record: record, Light: light}),
		NewestDocument:   d.tables.config.Revision(),
	}
}

// cursor returns where the peer's answer is to begin.
func (d *Distributor) cursor(peer *peerState) uint64 {
	fresh := peer.incarnation != 0 && d.options.Now()-peer.pulledAt < d.options.RecentWindow/2
	if d.synced && !fresh {
		return recentOnly
	}
	return peer.cursor
}

func (d *Distributor) applyPull(address string, request *peerv1.PullRequest, response *peerv1.PullResponse, started time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := d.mergeStates(response.Nodes)
	newest := d.tables.config.Revision()
	d.applyConfig(response, started)
	d.noteNews(newest, address)
	peer := d.peer(address)
	restarted := peer.incarnation != response.Incarnation
	peer.incarnation = response.Incarnation
	peer.cursor = response.Cursor
	peer.pulledAt = d.options.Now()
	peer.whole = request.Cursor == 0 || peer.whole && !restarted && request.Cursor != recentOnly
	if !complete {
		// The peer takes this node to have a record that it does not have; everything is asked for again.
		peer.cursor = 0
	}
	cut := len(response.Nodes) >= d.options.MaxPullRecords
	if peer.whole && complete && !cut {
		d.markSynced()
	}
	if request.Self.PeerAddress != "" {
		peer.selfVersion = request.Self.Version
		peer.pulls = 0
	} else if restarted {
		peer.selfVersion = 0
	}
	return len(response.Documents) > 0 || cut
}

// markSynced notes that the records of a peer were read from the beginning.
func (d *Distributor) markSynced() {
	if !d.synced {
		d.synced = true
		d.tables.members.SetSyncedPosition()
	}
}

// mergeStates merges the records of an answer. It returns false if a light update was about an unknown record.
func (d *Distributor) mergeStates(states []*peerv1.NodeState) bool {
	complete := true
	for _, state := range states {
		if d.mergeState(state) == membership.Incomplete {
			complete = false
		}
	}
	return complete
}

func (d *Distributor) mergeState(state *peerv1.NodeState) membership.Result {
	update := updateOf(state)
	own := d.options.Self
	if update.Record.ID == own.ID && update.Record.Incarnation > own.Incarnation {
		d.options.Report(Event{Kind: IdentityConflict, Node: own.ID, Address: update.Record.PeerAddress})
	}
	result := d.tables.members.Merge(update, d.options.Now())
	if result == membership.Replaced {
		d.publisher.members = true
	}
	return result
}

// applyConfig merges the documents of an answer to a call that started at the given time.
func (d *Distributor) applyConfig(response *peerv1.PullResponse, started time.Duration) {
	documents := make([]config.Document, 0, len(response.Documents))
	for _, message := range response.Documents {
		documents = append(documents, documentOf(message))
	}
	d.applyDocuments(documents)
	for i, message := range response.Documents {
		d.ages.note(documents[i], started-time.Duration(message.AgeMs)*time.Millisecond)
	}
	d.advance(ConfigPrefix, response.DocumentRevision)
}
