package once

import "github.com/sardinereach/sardinereach/internal/admission"

// TicketState is the decision on a request with a ticket.
type TicketState uint8

const (
	// TicketRefused means that the request does not run; the error contains the reason.
	TicketRefused TicketState = iota
	// TicketRun means that this caller of Begin, and no other, runs the request now.
	TicketRun
	// TicketReplay means that the request ran and its response is replayed.
	TicketReplay
	// TicketRunning means that the request is running for an earlier caller of Begin.
	TicketRunning
)

// TicketResult is the result of Tickets.Begin.
type TicketResult struct {
	State  TicketState
	Ticket Ticket
	// Answer is set with TicketReplay.
	Answer *admission.Answer
}
