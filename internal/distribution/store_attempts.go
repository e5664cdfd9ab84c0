package distribution

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// storeAttempts holds what this node knows of the newest attempt by a node of its failure domain to reach the store, whatever
// its result. Distributor.mu guards it.
//
// While attempts are made, one of them notices that the store answers again. A node that hears of none has to make one
// itself: the nodes that would make them may be lost, and that is known only later. The age of the attempt travels with the
// responses to pulls inside the failure domain.
type storeAttempts struct {
	// newest is the start of the newest attempt.
	newest time.Duration
}

func newStoreAttempts() storeAttempts { return storeAttempts{newest: noResponseYet} }

// recordOwnAttempt records that this node reads the prefix now. Only reads of the configuration count, and probes, after whose
// answer the configuration is read at once.
func (d *Distributor) recordOwnAttempt(prefix string) {
	if prefix != ConfigPrefix {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts.newest = d.options.Now()
}

// encodeAttempt returns the age of the newest attempt for a response to the caller, 0 if there is none or the caller is not a
// known member of the own domain. The caller of the method holds d.mu.
func (d *Distributor) encodeAttempt(caller model.NodeID) int64 {
	member, ok := d.tables.members.Get(caller)
	if !ok || member.Record.Domain != d.options.Self.Domain || d.attempts.newest == noResponseYet {
		return 0
	}
	return (d.options.Now() - d.attempts.newest).Milliseconds() + 1
}

// recordPeerAttempt records the attempt in the response to a pull that started at the time startedAt. The caller holds d.mu.
func (d *Distributor) recordPeerAttempt(response *peerv1.PullResponse, startedAt time.Duration) {
	if age := response.GetStoreAttemptAgeMs(); age > 0 {
		d.attempts.newest = max(d.attempts.newest, startedAt-time.Duration(age)*time.Millisecond)
	}
}
