package distribution

import (
	"context"
	"time"
)

// outageGap is the time between two confirmations of the configuration from which the store counts as having been away. In
// the normal state the standbys close a gap earlier.
const outageGap = 2500 * time.Millisecond

// storeReturn is closed when the store answers some node of the fleet after an outage. Distributor.mu guards the current one,
// which is nil while nobody waits for it.
type storeReturn chan struct{}

// awaitedReturn returns the next return of the store. A caller that will wait for it gets it before the call that may fail.
func (d *Distributor) awaitedReturn() storeReturn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.returned == nil {
		d.returned = make(storeReturn)
	}
	return d.returned
}

// signalReturn ends the pauses of this node if the newest confirmation closes a gap. previous is the one before. The caller
// holds d.mu.
func (d *Distributor) signalReturn(previous time.Duration) {
	newest := d.confirmation.newest()
	if newest <= previous || previous != noResponseYet && newest-previous < outageGap {
		return
	}
	if d.returned != nil {
		close(d.returned)
		d.returned = nil
	}
}

// pauseUntil sleeps until the pause is over, or until a random time below spread after the return of the store. It returns
// false if ctx ended first.
func (d *Distributor) pauseUntil(ctx context.Context, returned storeReturn, pause, spread time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-returned:
		return sleep(ctx, d.randomBelow(min(pause, spread)))
	case <-ctx.Done():
		return false
	}
}
