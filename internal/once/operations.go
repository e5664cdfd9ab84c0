package once

import (
	"container/list"
	"time"
)

// operation is the holder's cache entry for one claim.
type operation struct {
	Operation
	claim ClaimID
	// ended is the element in the list of ended operations, nil while the claim is running.
	ended     *list.Element
	expiresAt time.Time
}

// operations is the holder's cache of its own claims: all running ones and a bounded number of ended ones.
type operations struct {
	byClaim map[ClaimID]*operation
	// ended lists the ended operations, oldest first.
	ended   *list.List
	bytes   int64
	options Options
}

func newOperations(options Options) *operations {
	return &operations{byClaim: make(map[ClaimID]*operation), ended: list.New(), options: options}
}

func (o *operations) start(claim ClaimID) {
	o.byClaim[claim] = &operation{Operation: Operation{State: StateRunning}, claim: claim}
}

// remove deletes the entry of a claim that was never written.
func (o *operations) remove(claim ClaimID) { delete(o.byClaim, claim) }

// end sets the outcome of a claim and evicts the oldest outcomes beyond the bounds.
func (o *operations) end(now time.Time, claim ClaimID, outcome Operation) {
	op := o.byClaim[claim]
	if op == nil || op.ended != nil {
		return
	}
	op.Operation = outcome
	op.expiresAt = now.Add(o.options.OperationTTL)
	op.ended = o.ended.PushBack(op)
	o.bytes += op.size()
	o.expire(now)
}

func (o *operations) get(claim ClaimID) Operation {
	op := o.byClaim[claim]
	if op == nil {
		return Operation{}
	}
	return op.Operation
}

func (o *operations) expire(now time.Time) {
	for first := o.ended.Front(); first != nil; first = o.ended.Front() {
		op := first.Value.(*operation)
		within := o.ended.Len() <= o.options.MaxOperations && o.bytes <= o.options.MaxBytes
		if within && now.Before(op.expiresAt) {
			return
		}
		o.bytes -= op.size()
		o.ended.Remove(first)
		delete(o.byClaim, op.claim)
	}
}

func (op *operation) size() int64 {
	if op.Answer == nil {
		return 0
	}
	return op.Answer.Size()
}
