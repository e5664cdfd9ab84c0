package once

import (
	"container/list"
	"time"
)

// operation is the entry of one claim at its holder.
type operation struct {
	Operation
	claim ClaimID
	// ended is the place in the order of ended operations, nil while the claim runs.
	ended *list.Element
	until time.Time
}

// operations is the holder's memory of its claims: all running ones and a bounded number of ended ones.
type operations struct {
	byClaim map[ClaimID]*operation
	// ended orders the ended operations, oldest first.
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

// drop removes a claim that was never written.
func (o *operations) drop(claim ClaimID) { delete(o.byClaim, claim) }

// end sets the outcome of a claim and drops the oldest outcomes beyond the bounds.
func (o *operations) end(now time.Time, claim ClaimID, outcome Operation) {
	op := o.byClaim[claim]
	if op == nil || op.ended != nil {
		return
	}
	op.Operation = outcome
	op.until = now.Add(o.options.KeepFor)
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
		if within && now.Before(op.until) {
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
