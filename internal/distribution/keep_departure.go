package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// keepStoreTimeout limits the write of a departure to the store. The peers are asked after it, and a target waits for an
	// acknowledgement for a second.
	keepStoreTimeout = 400 * time.Millisecond
	// keepPeersTimeout limits the transfer of a departure to peers.
	keepPeersTimeout = 400 * time.Millisecond
)

// errDepartureNotKept is the error of a departure that only this process knows.
var errDepartureNotKept = errors.New("distribution: neither the store nor enough peers have the departure")

// KeepDeparture returns once the departure is where the next incarnation of this node finds it: in the own member record of
// the store or, if the store does not take it, at several peers. Until it returns nil, the departure must not be acknowledged.
// Further calls with a departure that is kept return at once.
func (d *Distributor) KeepDeparture(ctx context.Context, departure model.Departure) error {
	d.mu.Lock()
	kept := d.departures.includes(departure)
	added := d.self.addDeparture(d.options.Now(), departure)
	d.mu.Unlock()
	if kept {
		return nil
	}
	if added {
		d.requestEarlyRound()
	}
	if d.writeDeparture(ctx) == nil {
		return nil
	}
	if !d.keepAtPeers(ctx, departure) {
		return errDepartureNotKept
	}
	d.mu.Lock()
	d.departures.kept.Add(d.options.Now(), departure)
	d.mu.Unlock()
	return nil
}

// includes reports whether the departure is where a later incarnation finds it.
func (s *departures) includes(departure model.Departure) bool {
	kept, ok := s.kept.Get(departure.Target)
	return ok && kept.Includes(departure)
}

// writeDeparture writes the own member record with all departures. After a failure, the record is written later.
func (d *Distributor) writeDeparture(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepStoreTimeout)
	defer cancel()
	err := d.writeRecord(ctx)
	if err != nil {
		d.mu.Lock()
		d.departures.unwritten = true
		d.mu.Unlock()
		signal(d.recordUnwritten)
	}
	return err
}

// keepAtPeers sends the departure to several peers. It reports whether enough of them have received it.
func (d *Distributor) keepAtPeers(ctx context.Context, departure model.Departure) bool {
	ctx, cancel := context.WithTimeout(ctx, keepPeersTimeout)
	defer cancel()
	d.mu.Lock()
	d.updateOwnRecord(d.options.Now())
	plan := d.currentView().Keepers()
	d.mu.Unlock()
	received := make(chan model.NodeID, len(plan.Candidates))
	for _, peer := range plan.Candidates {
		d.pulls.Go(func() {
			if d.sendDeparture(ctx, peer.Address, departure) {
				received <- peer.ID
			}
		})
	}
	for {
		select {
		case id := <-received:
			if plan.Add(id) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// sendDeparture sends the full own record to the address, and reports whether the peer says that it has the departure.
func (d *Distributor) sendDeparture(ctx context.Context, address string, departure model.Departure) bool {
	d.mu.Lock()
	d.peer(address).selfVersion = 0
	d.mu.Unlock()
	_, response, err := d.pullAndApply(ctx, address)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(decodeDepartures(response.GetCallerDepartures()), func(received model.Departure) bool {
		return received.Target == departure.Target && received.Includes(departure)
	})
}
