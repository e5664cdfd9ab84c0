package distribution

import (
	"context"
	"math"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
)

// Cursors with a special meaning, greater than any position in a change log.
const (
	// cursorDocumentsOnly requests only configuration documents.
	cursorDocumentsOnly = math.MaxUint64
	// cursorRecentOnly requests only recently changed records, for a caller that already participates in the gossip and
	// has received the others from its other gossip peers. The complete table is 10 MB at the target scale.
	cursorRecentOnly = math.MaxUint64 - 1
)

// startPull pulls from the address unless a pull from it is in progress.
func (d *Distributor) startPull(ctx context.Context, address string) {
	d.startPullOf(ctx, address, d.pullOnce)
}

// startPullOf is startPull for what pull pulls.
func (d *Distributor) startPullOf(ctx context.Context, address string, pull pullFunc) {
	if !d.reservePeer(address) {
		return
	}
	d.pulls.Go(func() {
		result, err := pull(ctx, address)
		d.releasePeer(address, err)
		if result.offer != nil && d.reserveFetch(address) {
			// The failure is reported, and the next pull offers the documents again.
			_ = d.fetchOffer(ctx, result.offer)
			d.releaseFetch(address)
		}
	})
}

// pullResult is the result of a pull whose records are merged.
type pullResult struct {
	// more means that another call may return more.
	more bool
	// offer holds the documents whose chunks are still to be fetched, nil if there are none.
	offer *documentOffer
}

// pullFunc pulls from an address.
type pullFunc func(ctx context.Context, address string) (pullResult, error)

// reserveFetch reports whether the caller may fetch the documents that the address has offered: no other goroutine does.
func (d *Distributor) reserveFetch(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peer(address)
	reserved := !peer.fetching
	peer.fetching = true
	return reserved
}

func (d *Distributor) releaseFetch(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer(address).fetching = false
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

// releasePeer records the result of the pull.
func (d *Distributor) releasePeer(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peer(address)
	peer.inFlight = false
	peer.failed = err != nil
}

func (d *Distributor) peer(address string) *peerState {
	peer := d.peers[address]
	if peer == nil {
		peer = &peerState{}
		d.peers[address] = peer
	}
	peer.lastUsedRound = d.round
	return peer
}

// pullOnce pulls all changes from the address. Another pull may return more if the response reached the record limit or had
// documents.
func (d *Distributor) pullOnce(ctx context.Context, address string) (pullResult, error) {
	result, _, err := d.pullAndApply(ctx, address)
	return result, err
}

// pullAndApply pulls from the address, applies the response and returns it.
func (d *Distributor) pullAndApply(ctx context.Context, address string) (pullResult, *peerv1.PullResponse, error) {
	request := d.pullRequest(address)
	startedAt := d.options.Now()
	response, err := d.call(ctx, address, request)
	if err != nil {
		return pullResult{}, nil, err
	}
	result := d.applyPull(request, response, d.received(address, startedAt))
	d.restoreFromPeer(response)
	d.publish()
	return result, response, nil
}

// pullDocuments pulls only configuration documents.
func (d *Distributor) pullDocuments(ctx context.Context, address string) (pullResult, error) {
	d.mu.Lock()
	request := &peerv1.PullRequest{
		Node:             string(d.options.Self.ID),
		Cursor:           cursorDocumentsOnly,
		DocumentRevision: d.tables.config.Complete(),
		AcceptsManifests: true,
	}
	d.mu.Unlock()
	startedAt := d.options.Now()
	response, err := d.call(ctx, address, request)
	if err != nil {
		return pullResult{}, err
	}
	from := d.received(address, startedAt)
	d.mu.Lock()
	offer := d.applyConfig(response, from)
	d.mu.Unlock()
	d.publish()
	return pullResult{more: len(response.Documents) > 0, offer: offer}, nil
}

func (d *Distributor) call(
	ctx context.Context, address string, request *peerv1.PullRequest,
) (*peerv1.PullResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.options.PullTimeout)
	defer cancel()
	startedAt := d.options.Now()
	response, err := d.options.Puller.Pull(callCtx, address, request)
	if err != nil {
		if ctx.Err() == nil {
			d.options.Report(Event{
				Kind: PullFailed, Address: address, Revision: request.DocumentRevision, Duration: d.options.Now() - startedAt, Err: err,
			})
		}
		return nil, err
	}
	d.mu.Lock()
	d.lastPeerResponse = d.options.Now()
	d.mu.Unlock()
	return response, nil
}

func (d *Distributor) pullRequest(address string) *peerv1.PullRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peer(address)
	record := d.tables.members.Self()
	light := peer.selfVersion == record.Version && peer.pullsSinceFullRecord < pullsPerFullRecord
	peer.pullsSinceFullRecord++
	return &peerv1.PullRequest{
		Node:             string(record.ID),
		Incarnation:      peer.incarnation,
		Cursor:           d.requestCursor(peer),
		DocumentRevision: d.tables.config.Complete(),
		Self:             encodeUpdate(membership.Update{Record: record, Light: light}),
		NewestDocument:   d.tables.config.Revision(),
		AcceptsManifests: true,
	}
}

// requestCursor returns the cursor at which the peer's response has to start.
func (d *Distributor) requestCursor(peer *peerState) uint64 {
	recentlyPulled := peer.incarnation != 0 && d.options.Now()-peer.pulledAt < d.options.RecentWindow/2
	if d.synced && !recentlyPulled {
		return cursorRecentOnly
	}
	return peer.cursor
}

func (d *Distributor) applyPull(request *peerv1.PullRequest, response *peerv1.PullResponse, from delivery) pullResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := d.mergeStates(response.Nodes)
	offer := d.applyConfig(response, from)
	peer := d.peer(from.address)
	restarted := peer.incarnation != response.Incarnation
	peer.incarnation = response.Incarnation
	peer.cursor = response.Cursor
	peer.pulledAt = d.options.Now()
	peer.fromStart = request.Cursor == 0 || peer.fromStart && !restarted && request.Cursor != cursorRecentOnly
	if !complete {
		// The peer sent a light update for a record that this node does not have. Request everything again.
		peer.cursor = 0
	}
	limitReached := len(response.Nodes) >= d.options.MaxPullRecords
	if peer.fromStart && complete && !limitReached {
		d.markSynced()
	}
	if request.Self.PeerAddress != "" {
		peer.selfVersion = request.Self.Version
		peer.pullsSinceFullRecord = 0
	} else if restarted {
		peer.selfVersion = 0
	}
	return pullResult{more: len(response.Documents) > 0 || limitReached, offer: offer}
}

// markSynced marks the node as synced: the records of a peer were read from the beginning of its change log.
func (d *Distributor) markSynced() {
	if !d.synced {
		d.synced = true
		d.tables.members.SetSyncedPosition()
	}
}

// mergeStates merges the records of a response. It returns false if one was a light update of a record that this node
// does not have.
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
	update := decodeUpdate(state)
	self := d.options.Self
	if update.Record.ID == self.ID && update.Record.Incarnation > self.Incarnation {
		d.options.Report(Event{Kind: IdentityConflict, Node: self.ID, Address: update.Record.PeerAddress})
	}
	result := d.tables.members.Merge(update, d.options.Now())
	if result == membership.Replaced {
		d.publisher.membersChanged = true
	}
	return result
}

// applyConfig merges the documents of a response. It returns the configuration documents as an offer if this node lacks chunks
// of them, nil if they are merged. The caller holds d.mu.
func (d *Distributor) applyConfig(response *peerv1.PullResponse, from delivery) *documentOffer {
	d.recordPeerAttempt(response, from.startedAt)
	offer, others, err := newDocumentOffer(response, from)
	d.applyDocuments(others, from)
	for _, message := range response.Documents {
		d.ages.record(decodeDocument(message), from.startedAt-time.Duration(message.AgeMs)*time.Millisecond)
	}
	if err != nil {
		d.options.Report(Event{Kind: PullFailed, Address: from.address, Err: err})
		return nil
	}
	if len(d.missingChunks(offer)) > 0 {
		return offer
	}
	d.applyOffer(offer)
	return nil
}
