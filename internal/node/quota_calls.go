package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

// run lends the parts of this node again in time, until ctx ends.
func (q *quotas) run(ctx context.Context) {
	ticker := time.NewTicker(quotaTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			q.renew()
		case <-ctx.Done():
			return
		}
	}
}

// renew lends the parts of the slots that have not been lent for quotaRenewal, to the nearest quotaTick.
func (q *quotas) renew() {
	if !q.isNeeded() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.now()
	for _, slot := range q.slots {
		slot.forgetIdle(now)
		slot.distributor.Keep(now, func(account model.AccountName) bool { _, limited := q.limitOf(account); return limited })
		if now-slot.lentAt >= quotaRenewal-quotaTick/2 {
			q.startAsking(slot)
		}
	}
}

// startAsking starts the calls for a slot unless they are being made. q.mu is held.
func (q *quotas) startAsking(slot *quotaSlot) {
	if slot.asking {
		return
	}
	slot.asking = true
	go q.ask(slot)
}

// ask calls distributors until no request of the slot waits and its parts are not on their way.
func (q *quotas) ask(slot *quotaSlot) {
	for q.askOnce(slot) {
	}
}

// askOnce makes one call and reports whether another one is needed.
func (q *quotas) askOnce(slot *quotaSlot) bool {
	fleet := q.fleet()
	x, found := q.nextExchange(slot, fleet)
	if !found {
		return false
	}
	address := fleet.addresses[x.call.distributor]
	response, err := q.send(x, address)
	x.response = response
	if err != nil {
		q.onFailure(x.call.distributor, address, err)
		q.log.Emit(events.QuotaCallFailed, events.NodeField(x.call.distributor), events.CountField(slot.number))
	}
	return q.finish(slot, x)
}

// nextExchange returns the next call for the slot. Without one, the requests of the slot no longer wait.
func (q *quotas) nextExchange(slot *quotaSlot, fleet quotaFleet) (quotaExchange, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.now()
	call := slot.choose(now, fleet, q.self.ID)
	if call.distributor == "" {
		slot.refuseWaiting(now, slot.lender.Until())
		slot.asking = false
		return quotaExchange{}, false
	}
	return quotaExchange{call: call, asked: now, request: slot.request(now, q.self, fleet, call)}, true
}

// send sends the request to the distributor, which may be this node.
func (q *quotas) send(x quotaExchange, address string) (*peerv1.QuotaResponse, error) {
	if x.call.distributor == q.self.ID {
		return q.serve(x.request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), quotaCallTimeout)
	defer cancel()
	return q.peers.Quota(ctx, address, x.request)
}

// finish records a call that has ended and reports whether another one is needed.
func (q *quotas) finish(slot *quotaSlot, x quotaExchange) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	x.ended = q.clock.now()
	slot.record(x)
	switch {
	case x.isDeclined() && x.call.isLast:
		slot.refuseWaiting(x.ended, x.ended)
	case x.isUnansweredProbe() && slot.isUnlent(x.ended):
		slot.refuseWaiting(x.ended, x.ended+quotaCallTimeout)
	case x.isServed():
		slot.apply(x)
	}
	slot.asking = x.movesParts() || slot.hasWaiting()
	return slot.asking
}
