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

// Tickets issues the operation tickets of one incarnation and runs each at most once. It is a function of its calls and
// their times, on the node's own monotonic clock. It is not safe for concurrent use.
type Tickets struct {
	node        model.NodeID
	incarnation model.Incarnation
	secret      []byte
	limits      TicketLimits
	serial      uint64
	now         time.Duration
	// records holds the tickets that were begun, by serial.
	records map[uint64]*ticketRecord
	// ended orders the records with an outcome, oldest first; held those of them that hold an answer.
	ended *list.List
	held  *list.List
	bytes int64
}

// ticketRecord is what is known of a ticket that was begun.
type ticketRecord struct {
	serial      uint64
	fingerprint uint64
	running     bool
	answer      *admission.Answer
	held        *list.Element
	reason      verdict.Reason
	until       time.Duration
}

// NewTickets returns the tickets of an incarnation. The secret is random and belongs to this incarnation alone.
func NewTickets(node model.NodeID, incarnation model.Incarnation, secret []byte, limits TicketLimits) *Tickets {
	return &Tickets{
		node:        node,
		incarnation: incarnation,
		secret:      append([]byte(nil), secret...),
		limits:      limits.withDefaults(),
		records:     make(map[uint64]*ticketRecord),
		ended:       list.New(),
		held:        list.New(),
	}
}

// Issue returns a new ticket. It keeps nothing of it.
func (t *Tickets) Issue(now time.Duration) string {
	t.advance(now)
	t.serial++
	ticket := Ticket{Node: t.node, Incarnation: t.incarnation, Serial: t.serial, Issued: t.now}
	ticket.mac = t.sign(ticket)
	return ticket.String()
}

// Begin decides on a request with a ticket and the given fingerprint. With TicketRun the caller runs the request and
// then calls Record, Uncertain or Release.
func (t *Tickets) Begin(now time.Duration, text string, fingerprint uint64) (TicketResult, *verdict.Error) {
	t.advance(now)
	ticket, err := Parse(text)
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
		return record.again(ticket, fingerprint)
	}
	return t.run(ticket, fingerprint)
}

// run begins a ticket without a record. After ValidFor the record of an earlier run may have been dropped.
func (t *Tickets) run(ticket Ticket, fingerprint uint64) (TicketResult, *verdict.Error) {
	if t.now-ticket.Issued >= t.limits.ValidFor {
		return TicketResult{}, verdict.Uncertain(verdict.TicketLost, errors.New("ticket has expired"))
	}
	if len(t.records) >= t.limits.Records {
		return TicketResult{}, verdict.Refused(verdict.Overloaded, errors.New("too many tickets"))
	}
	t.records[ticket.Serial] = &ticketRecord{serial: ticket.Serial, fingerprint: fingerprint, running: true}
	return TicketResult{State: TicketRun, Ticket: ticket}, nil
}

// again decides on a resend.
func (r *ticketRecord) again(ticket Ticket, fingerprint uint64) (TicketResult, *verdict.Error) {
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

// Record ends a running ticket with its answer.
func (t *Tickets) Record(now time.Duration, ticket Ticket, answer *admission.Answer) {
	r := t.end(now, ticket, verdict.AnswerDropped)
	if r == nil || answer == nil || answer.Size() > t.limits.Bytes {
		return
	}
	r.answer = answer
	r.held = t.held.PushBack(r)
	t.bytes += answer.Size()
	for t.bytes > t.limits.Bytes {
		t.dropAnswer(t.held.Front().Value.(*ticketRecord))
	}
}

// Uncertain ends a running ticket with an outcome that is not known.
func (t *Tickets) Uncertain(now time.Duration, ticket Ticket, reason verdict.Reason) {
	t.end(now, ticket, reason)
}

// Release ends a running ticket that was not run. It may be run again while it is valid.
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
	r.until = t.now + t.limits.ValidFor
	t.ended.PushBack(r)
	return r
}

// advance moves to now and drops the records whose time is over. Their tickets were issued at least ValidFor ago, so
// they are not run again.
func (t *Tickets) advance(now time.Duration) {
	t.now = max(t.now, now)
	for first := t.ended.Front(); first != nil; first = t.ended.Front() {
		r := first.Value.(*ticketRecord)
		if t.now < r.until {
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
	t.bytes -= r.answer.Size()
	t.held.Remove(r.held)
	r.answer = nil
	r.held = nil
}

func (t *Tickets) sign(ticket Ticket) string {
	mac := hmac.New(sha256.New, t.secret)
	mac.Write([]byte(ticket.signed()))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}
