package main

import (
	"container/heap"
	"time"
)

// event is a step of the simulation. Events at the same time run in the order in which they were scheduled.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// events is a heap of events by time.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// timeline is a fake clock with scheduled events.
type timeline struct {
	now    time.Duration
	serial uint64
	events events
}

// after schedules an event.
func (t *timeline) after(delay time.Duration, run func()) {
	t.serial++
	heap.Push(&t.events, event{at: t.now + max(delay, 0), serial: t.serial, run: run})
}

// runUntil runs the events up to the given time.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.run()
	}
	t.now = end
}
