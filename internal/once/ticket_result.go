package once

import "github.com/sardinereach/sardinereach/internal/admission"

// TicketState says what a request with a ticket may do.
type TicketState uint8

const (
	// TicketRefused means that the request does not run; the error says why.
	TicketRefused TicketState = iota
	// TicketRun means that the request is to be run now, by this caller of Begin alone.
	TicketRun
	// TicketReplay means that the request ran and its answer is replayed.
	TicketReplay
	// TicketRunning means that the request is running for an earlier caller of Begin.
	TicketRunning
)

// TicketResult is the answer to Tickets.Begin.
type TicketResult struct {
	State  TicketState
	Ticket Ticket
	// Answer is set with TicketReplay.
	Answer *admission.Answer
}
