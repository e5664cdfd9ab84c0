package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// departureKeeper keeps departures beyond the process. The Distributor is one.
type departureKeeper interface {
	// KeepDeparture returns nil once the departure outlives the process.
	KeepDeparture(ctx context.Context, departure model.Departure) error
}

// keepDeparture returns once the departure of the target outlives this process. Until then the target must not be told that
// it was heard: the process that follows could take a late announcement for a new target.
func (n *Node) keepDeparture(target model.TargetID) error {
	departure, ok := n.admitter.departure(target)
	if !ok {
		return nil
	}
	if err := n.departures.KeepDeparture(context.Background(), departure); err != nil {
		n.log.Emit(events.DepartureNotKept, events.TargetField(target), events.CauseField(err))
		return errors.Wrap(upstream.ErrRepeat, err.Error())
	}
	return nil
}

// handleRestoredDepartures applies departures that an earlier process of this node has acknowledged.
func (n *Node) handleRestoredDepartures(departures []model.Departure) {
	n.admitter.restoreDepartures(departures)
	for _, d := range departures {
		n.log.Emit(events.DepartureRestored, events.TargetField(d.Target))
	}
	n.control.wake()
}
