package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/chunk"
)

// errChunksGone means that a node no longer has the chunks of the documents that it offered.
var errChunksGone = errors.New("distribution: the node does not have the chunks that it offered")

// fetchOffer requests the chunks that are missing for the offer from the node that made it, and merges its documents. Several
// offers share the chunks that arrive for any of them, so that a chunk is requested once, and what has arrived is not lost with
// a call that fails.
func (d *Distributor) fetchOffer(ctx context.Context, offer *documentOffer) error {
	for {
		claimed, arrival := d.nextChunks(offer)
		switch {
		case claimed == nil && arrival == nil:
			d.publish()
			return nil
		case claimed == nil:
			if !awaitArrival(ctx, arrival) {
				return ctx.Err()
			}
		default:
			if err := d.fetchChunks(ctx, offer.from.address, claimed); err != nil {
				return err
			}
		}
	}
}

// nextChunks returns the chunks to request next. If others have requested all that are missing, it returns the channel that
// shows their arrival. If none is missing, it applies the offer and returns neither.
func (d *Distributor) nextChunks(offer *documentOffer) (chunk.Manifest, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	missing := d.missingChunks(offer)
	if len(missing) == 0 {
		d.applyOffer(offer)
		return nil, nil
	}
	return d.chunks.claim(missing, d.options.Now()), d.chunks.changed
}

// awaitArrival waits for chunks, at most until they may be requested again. It returns false if ctx ended.
func awaitArrival(ctx context.Context, arrival <-chan struct{}) bool {
	timer := time.NewTimer(claimPatience)
	defer timer.Stop()
	select {
	case <-arrival:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchChunks requests the claimed chunks from the address.
func (d *Distributor) fetchChunks(ctx context.Context, address string, claimed chunk.Manifest) error {
	callCtx, cancel := context.WithTimeout(ctx, d.options.PullTimeout)
	defer cancel()
	startedAt := d.options.Now()
	response, err := d.options.Puller.Chunks(callCtx, address, &peerv1.ChunksRequest{Ids: claimed.Encode()})
	received := map[chunk.ID]*cachedChunk{}
	if err == nil {
		received, err = decodeChunks(response)
	}
	d.mu.Lock()
	now := d.options.Now()
	for id, c := range received {
		d.chunks.add(id, c, now)
	}
	d.chunks.release(claimed)
	d.mu.Unlock()
	if err == nil && len(received) == 0 {
		err = errChunksGone
	}
	if err != nil && ctx.Err() == nil {
		d.options.Report(Event{Kind: PullFailed, Address: address, Duration: now - startedAt, Err: err})
	}
	return err
}

// decodeChunks returns the chunks of a response, and an error if one of them is not what its ID says.
func decodeChunks(response *peerv1.ChunksResponse) (map[chunk.ID]*cachedChunk, error) {
	received := map[chunk.ID]*cachedChunk{}
	ids, err := chunk.DecodeManifest(response.GetIds())
	if err != nil {
		return received, err
	}
	if len(ids) != len(response.GetChunks()) {
		return received, errors.Errorf("distribution: %d chunks with %d IDs", len(response.GetChunks()), len(ids))
	}
	for i, packed := range response.GetChunks() {
		c, err := receivedChunk(ids[i], packed)
		if err != nil {
			return received, err
		}
		received[ids[i]] = c
	}
	return received, nil
}
