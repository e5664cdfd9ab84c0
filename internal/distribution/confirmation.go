package distribution

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// confirmation holds what this node knows of the newest moment at which the store confirmed the configuration to some node:
// it answered a list or a watch of the configuration. Distributor.mu guards it.
//
// A node whose configuration does not change cannot tell otherwise whether there is no change or whether nobody reads the
// store. The age of the confirmation travels with the responses to pulls, together with the documents. It only becomes
// older on the way: the time of a call is added to the age in its response. A caller cannot know how long its request was on
// the way, so requests carry no age.
type confirmation struct {
	// own is the newest confirmation that this node received from the store itself, peers the newest one that it received
	// from another node, which may be its own one.
	own, peers time.Duration
	// synced means that the last read of the configuration by this node did not fail.
	synced bool
}

func newConfirmation() confirmation { return confirmation{own: noResponseYet, peers: noResponseYet} }

// newest returns the time of the newest confirmation, noResponseYet if there is none.
func (c *confirmation) newest() time.Duration { return max(c.own, c.peers) }

// confirmOwn records that the store confirmed the configuration at the time at. The caller holds d.mu.
func (d *Distributor) confirmOwn(prefix string, at time.Duration) {
	if prefix == ConfigPrefix {
		previous := d.confirmation.newest()
		d.confirmation.synced = true
		d.confirmation.own = max(d.confirmation.own, at)
		d.signalReturn(previous)
	}
}

// isConfirmedNow reports whether the store has confirmed the configuration within outageGap.
func (d *Distributor) isConfirmedNow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := d.confirmation.newest()
	return newest != noResponseYet && d.options.Now()-newest < outageGap
}

// confirmationFailed records that a read of the prefix failed.
func (d *Distributor) confirmationFailed(prefix string) {
	if prefix != ConfigPrefix {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmation.synced = false
}

// isConfirmationDue reports whether the next watch of the prefix must not wait, because its answer has to confirm the
// configuration after a failure.
func (d *Distributor) isConfirmationDue(prefix string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return prefix == ConfigPrefix && !d.confirmation.synced
}

// encodeConfirmation returns the age of the newest confirmation for a response whose documents are complete up to the
// revision, 0 if there is none. The caller holds d.mu.
func (d *Distributor) encodeConfirmation(complete int64) int64 {
	newest := d.confirmation.newest()
	if newest == noResponseYet || complete < d.tables.config.Complete() {
		return 0
	}
	return (d.options.Now() - newest).Milliseconds() + 1
}

// recordConfirmation records the confirmation in the response to a pull that started at the time startedAt, unless the peer
// lacks documents that this node has. The caller holds d.mu and has merged the documents of the response.
func (d *Distributor) recordConfirmation(response *peerv1.PullResponse, startedAt time.Duration) {
	if response.GetDocumentRevision() < d.tables.config.Complete() {
		return
	}
	if age := response.GetConfirmationAgeMs(); age > 0 {
		previous := d.confirmation.newest()
		d.confirmation.peers = max(d.confirmation.peers, startedAt-time.Duration(age)*time.Millisecond)
		d.signalReturn(previous)
	}
}
