package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// quotaExchange is a call to a distributor and what became of it.
type quotaExchange struct {
	call    quotaCall
	request *peerv1.QuotaRequest
	// response is nil if the distributor has not answered.
	response *peerv1.QuotaResponse
	// asked and ended are the times at which the call began and ended.
	asked, ended time.Duration
}

// isDeclined reports whether the distributor takes no parts now.
func (x quotaExchange) isDeclined() bool { return x.response != nil && x.response.Declined }

// lentNothing reports whether the call lent nothing because the sender did not know the clock that the response tells: it was a probe, or
// the receiver has restarted.
func (x quotaExchange) lentNothing() bool {
	if x.response == nil || x.response.Declined {
		return false
	}
	if x.call.kind == quotaLend {
		return x.response.Clock.GetIncarnation() != x.request.Echo.GetIncarnation()
	}
	return x.call.kind == quotaProbe
}

// isUnansweredProbe reports whether the call was a probe without an answer.
func (x quotaExchange) isUnansweredProbe() bool {
	return x.call.kind == quotaProbe && x.response == nil
}

// isServed reports whether the response decides on the demands of the request.
func (x quotaExchange) isServed() bool {
	return x.response != nil && !x.response.Declined && !x.lentNothing()
}

// hasLent reports whether the call lent the parts.
func (x quotaExchange) hasLent() bool { return x.call.kind == quotaLend && x.isServed() }

// hasReturned reports whether the distributor has given back the parts.
func (x quotaExchange) hasReturned() bool {
	return x.response != nil && (x.call.kind == quotaTakeBack || x.call.kind == quotaLend && x.response.Declined)
}

// movesParts reports whether the parts are on their way to another distributor after an answered call, so that the next call follows
// at once: until it, nobody uses them. Parts that the last candidate returns wait for the next renewal.
func (x quotaExchange) movesParts() bool {
	return x.lentNothing() || x.hasReturned() && !x.call.isLast
}
