package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
)

// departuresStoreTimeout is the time after the start for which the departures are expected from the store. After it the word of a
// peer counts, which may lack a departure that was acknowledged a moment before the process ended. The next pulls bring that one.
const departuresStoreTimeout = 400 * time.Millisecond

// departures is the state of the departures that this node or an earlier incarnation of it has acknowledged. Distributor.mu
// guards it.
type departures struct {
	// known means that this node has heard from the store, or from a peer that knows it, what its earlier incarnations have
	// acknowledged.
	known bool
	// peerKnows means that a peer that knows the departures of the fleet has sent those of this node. It may lack the newest
	// ones, which the store has.
	peerKnows bool
	// storeLate means that the store has not answered in time, so that the word of a peer counts.
	storeLate bool
	// ofFleet means that this node knows the departures of all nodes, and so can tell other nodes of theirs.
	ofFleet bool
	// kept are the departures that are where a later incarnation finds them.
	kept *departure.Set
	// unwritten means that the own member record in the store lacks a departure.
	unwritten bool
}

// DeparturesKnown reports whether this node knows the departures that its earlier incarnations have acknowledged. Until then
// an announcement may come from a target that has left. Once true, it stays true.
func (d *Distributor) DeparturesKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departures.known
}

// setDeparturesKnown is called after all departures of the own earlier incarnations were restored. ofFleet means that the
// source had those of the other nodes, too.
func (d *Distributor) setDeparturesKnown(ofFleet bool) {
	d.mu.Lock()
	wasKnown := d.departures.known
	d.departures.known = true
	d.departures.ofFleet = d.departures.ofFleet || ofFleet
	d.mu.Unlock()
	if !wasKnown {
		d.options.OnDepartures(nil)
	}
}

// restoreDepartures adds departures that an earlier incarnation of this node has acknowledged. fromStore means that they are
// in the own member record of the store.
func (d *Distributor) restoreDepartures(list []model.Departure, fromStore bool) {
	var restored []model.Departure
	d.mu.Lock()
	now := d.options.Now()
	for _, departure := range list {
		if fromStore {
			d.departures.kept.Add(now, departure)
		}
		if d.self.addDeparture(now, departure) {
			restored = append(restored, departure)
		}
	}
	d.mu.Unlock()
	if len(restored) > 0 {
		d.options.OnDepartures(restored)
		d.requestEarlyRound()
	}
}

// restoreFromPeer restores the departures of a response to a pull.
func (d *Distributor) restoreFromPeer(response *peerv1.PullResponse) {
	d.restoreDepartures(decodeDepartures(response.GetCallerDepartures()), false)
	if response.GetKnowsDepartures() {
		d.mu.Lock()
		d.departures.peerKnows = true
		d.departures.ofFleet = d.departures.ofFleet || d.synced
		d.mu.Unlock()
		d.trustPeers()
	}
}

// runDepartures lets the word of a peer count when the store has not answered in time.
func (d *Distributor) runDepartures(ctx context.Context) {
	timer := time.NewTimer(departuresStoreTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.firstListDone:
	case <-ctx.Done():
		return
	}
	d.mu.Lock()
	d.departures.storeLate = true
	d.mu.Unlock()
	d.trustPeers()
}

// trustPeers marks the departures as known if a peer knows them and the store has not answered in time.
func (d *Distributor) trustPeers() {
	d.mu.Lock()
	trusted := d.departures.peerKnows && d.departures.storeLate
	d.mu.Unlock()
	if trusted {
		d.setDeparturesKnown(false)
	}
}
