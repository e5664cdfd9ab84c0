package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
)

// quotaCall is a call to the node that distributes a slot of accounts.
type quotaCall struct {
	// distributor is empty if there is no node to call.
	distributor model.NodeID
	kind        quotaCallKind
	// isLast means that all other nodes are left out.
	isLast bool
}

// quotaCallKind is what a call does with the parts of the sender. Each kind may ask for permits as well.
type quotaCallKind uint8

const (
	// quotaLend lends the parts, or lends them for longer.
	quotaLend quotaCallKind = iota
	// quotaTakeBack ends a loan.
	quotaTakeBack
	// quotaAsk asks for permits from the parts of others. A node that has just started may not lend its own yet.
	quotaAsk
	// quotaProbe lends nothing. It shows that the receiver answers, and its clock.
	quotaProbe
)

// lentNothing reports whether the call lent nothing because the sender did not know the clock that the response tells: it was a probe, or
// the receiver has restarted. response is nil if there was none.
func (c quotaCall) lentNothing(request *peerv1.QuotaRequest, response *peerv1.QuotaResponse) bool {
	if response == nil || response.Declined {
		return false
	}
	if c.kind == quotaLend {
		return response.Clock.GetIncarnation() != request.Echo.GetIncarnation()
	}
	return c.kind == quotaProbe
}
