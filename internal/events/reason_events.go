package events

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// reasonFields are the fields of every reason's event.
var reasonFields = []Key{Outcome, Request, Service, Target, Node, Attempt, Cause, Account, Access, AccessRevision}

// reasonEvents holds the event of each reason. It is read-only after package initialization.
var reasonEvents = newReasonEvents()

// unknownReason is the event of a reason without a number. A test checks that every reason has one.
var unknownReason = &Event{1000, "request_reason_unknown", Error, "a request ended for a reason without an event", reasonFields, 0}

func newReasonEvents() map[verdict.Reason]*Event {
	table := make(map[verdict.Reason]*Event, len(reasonNumbers))
	for reason, number := range reasonNumbers {
		words := strings.ReplaceAll(string(reason), "_", " ")
		table[reason] = &Event{
			Number:   number,
			Name:     "request_" + string(reason),
			Severity: Warning,
			Text:     "a request was refused, failed or retried: " + words,
			Fields:   reasonFields,
		}
	}
	return table
}

// ForReason returns the event for a refusal, failure or retry with the reason.
func ForReason(reason verdict.Reason) *Event {
	if event, ok := reasonEvents[reason]; ok {
		return event
	}
	return unknownReason
}
