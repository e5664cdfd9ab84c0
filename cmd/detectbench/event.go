package main

import "time"

// eventKind is the kind of a simulated event.
type eventKind uint8

const (
	arrival eventKind = iota
	completion
	reportCollection
	reportDelivery
	reportRequest
	inFlightCheck
	healthProbe
)

// event is one scheduled event of a trace.
type event struct {
	at      time.Duration
	serial  uint64
	kind    eventKind
	target  int
	request *request
	reports *reportSet
}

// queue is a heap of events ordered by time, then by creation.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
