package once

import (
	"container/list"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// macBytes is the length of a ticket's truncated HMAC-SHA256.
const macBytes = 16

// Tickets issues the operation tickets of one incarnation and allows each to run at most once. It depends only on its
// calls and their times, which are on the node's monotonic clock. It is not safe for concurrent use.
type Tickets struct {
	node        model.NodeID
	incarnation model.Incarnation
	secret      []byte
	limits      TicketLimits
	serial      uint64
	now         time.Duration
	// records contains the tickets that are running or have an outcome, by serial.
	records map[uint64]*ticketRecord
	// ended lists the records with an outcome, oldest first; retained lists those of them that have a response.
	ended         *list.List
	retained      *list.List
	retainedBytes int64
}

// ticketRecord is the state of a ticket that is running or has an outcome.
type ticketRecord struct {
	serial          uint64
	fingerprint     uint64
	running         bool
	answer          *admission.Answer
	retainedElement *list.Element
	reason          verdict.Reason
	expiresAt       time.Duration
}

// NewTickets returns the tickets of an incarnation. The secret must be random and unique to the incarnation.
func NewTickets(node model.NodeID, incarnation model.Incarnation, secret []byte, limits TicketLimits) *Tickets {
	return &Tickets{
		node:        node,
		incarnation: incarnation,
		secret:      append([]byte(nil), secret...),
		limits:      limits.withDefaults(),
		records:     make(map[uint64]*ticketRecord),
		ended:       list.New(),
		retained:    list.New(),
	}
}

// Issue returns a new ticket. It stores no record of the ticket.
func (t *Tickets) Issue(now time.Duration) string {
	t.advance(now)
	t.serial++
	ticket := Ticket{Node: t.node, Incarnation: t.incarnation, Serial: t.serial, Issued: t.now}
	ticket.mac = t.sign(ticket)
	return ticket.String()
}

// Begin decides on a request with a ticket and the given fingerprint. With TicketRun the caller runs the request and
// then calls Record, RecordUncertain or Release.
func (t *Tickets) Begin(now time.Duration, text string, fingerprint uint64) (TicketResult, *verdict.Error) {
	t.advance(now)
	ticket, err := ParseTicket(text)
	if err != nil {
		return TicketResult{}, verdict.Refused(verdict.KeyInvalid, err)
	}
	if ticket.Node != t.node || ticket.Incarnation != t.incarnation {
		return TicketResult{}, verdict.Uncertain(verdict.TicketLost, errors.New("ticket of another incarnation"))
	}
	if !hmac.Equal([]byte(ticket.mac), []byte(t.sign(ticket))) {
		return TicketResult{}, verdict.Refused(verdict.KeyInvalid, errors.New("ticket was not issued here"))
	}
	if record := t.records[ticket.Serial]; record != nil {
		return record.decideClientRetry(ticket, fingerprint)
	}
	return t.begin(ticket, fingerprint)
}

// begin starts a ticket without a record. It rejects a ticket older than its TTL, because the record of an earlier run may
// have been deleted.
func (t *Tickets) begin(ticket Ticket, fingerprint uint64) (TicketResult, *verdict.Error) {
	if t.now-ticket.Issued >= t.limits.TTL {
		return TicketResult{}, verdict.Uncertain(verdict.TicketLost, errors.New("ticket has expired"))
	}
	if len(t.records) >= t.limits.Records {
		return TicketResult{}, verdict.Refused(verdict.Overloaded, errors.New("too many tickets"))
	}
	t.records[ticket.Serial] = &ticketRecord{serial: ticket.Serial, fingerprint: fingerprint, running: true}
	return TicketResult{State: TicketRun, Ticket: ticket}, nil
}

// decideClientRetry decides on a client retry of a ticket that has a record.
func (r *ticketRecord) decideClientRetry(ticket Ticket, fingerprint uint64) (TicketResult, *verdict.Error) {
	switch {
	case r.fingerprint != fingerprint:
		return TicketResult{}, verdict.Refused(verdict.KeyReused, nil)
	case r.running:
		return TicketResult{State: TicketRunning, Ticket: ticket}, nil
	case r.answer != nil:
		return TicketResult{State: TicketReplay, Ticket: ticket, Answer: r.answer}, nil
	}
	return TicketResult{}, verdict.Uncertain(r.reason, nil)
}

// Record ends a running ticket with its response.
func (t *Tickets) Record(now time.Duration, ticket Ticket, answer *admission.Answer) {
	r := t.end(now, ticket, verdict.AnswerDropped)
	if r == nil || answer == nil || answer.Size() > t.limits.Bytes {
		return
	}
	r.answer = answer
	r.retainedElement = t.retained.PushBack(r)
	t.retainedBytes += answer.Size()
	for t.retainedBytes > t.limits.Bytes {
		t.dropAnswer(t.retained.Front().Value.(*ticketRecord))
	}
}

// RecordUncertain ends a running ticket with an unknown outcome.
func (t *Tickets) RecordUncertain(now time.Duration, ticket Ticket, reason verdict.Reason) {
	t.end(now, ticket, reason)
}

// Release ends a running ticket whose request did not run. The ticket may run again until its TTL expires.
func (t *Tickets) Release(now time.Duration, ticket Ticket) {
	t.advance(now)
	if r := t.records[ticket.Serial]; r != nil && r.running {
		delete(t.records, ticket.Serial)
	}
}

// end sets the outcome of a running ticket. It returns nil if the ticket is not running.
func (t *Tickets) end(now time.Duration, ticket Ticket, reason verdict.Reason) *ticketRecord {
	t.advance(now)
	r := t.records[ticket.Serial]
	if r == nil || !r.running {
		return nil
	}
	r.running = false
	r.reason = reason
	r.expiresAt = t.now + t.limits.TTL
	t.ended.PushBack(r)
	return r
}

// advance sets the time and deletes expired records. Their tickets are older than their TTL and therefore cannot run
// again.
func (t *Tickets) advance(now time.Duration) {
	t.now = max(t.now, now)
	for first := t.ended.Front(); first != nil; first = t.ended.Front() {
		r := first.Value.(*ticketRecord)
		if t.now < r.expiresAt {
			return
		}
		t.dropAnswer(r)
		t.ended.Remove(first)
		delete(t.records, r.serial)
	}
}

func (t *Tickets) dropAnswer(r *ticketRecord) {
	if r.answer == nil {
		return
	}
	t.retainedBytes -= r.answer.Size()
	t.retained.Remove(r.retainedElement)
	r.answer = nil
	r.retainedElement = nil
}

func (t *Tickets) sign(ticket Ticket) string {
	mac := hmac.New(sha256.New, t.secret)
	mac.Write([]byte(ticket.signedPart()))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
