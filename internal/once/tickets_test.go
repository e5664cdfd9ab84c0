package once

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// ticketState is the expected state of one ticket.
type ticketState struct {
	text    string
	running bool
	ran     bool
}

// Guards against a ticket that runs twice, also at the same time, or for another request, against a record that is deleted
// while its ticket may still run, and against unbounded memory. The clock may jump forward.
func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := TicketLimits{Records: 4, Bytes: 100}
		tickets := NewTickets("n.1", 3, []byte("secret"), limits)
		var all []*ticketState
		now := time.Duration(0)
		draw := func(t *rapid.T) *ticketState {
			if len(all) == 0 {
				t.Skip("no ticket yet")
			}
			return all[rapid.IntRange(max(0, len(all)-5), len(all)-1).Draw(t, "ticket")]
		}
		begin := func(t *rapid.T) {
			ticket := draw(t)
			result, err := tickets.Begin(now, ticket.text, 1)
			switch {
			case result.State == TicketRun && (ticket.running || ticket.ran):
				t.Fatalf("ticket %s runs again", ticket.text)
			case result.State == TicketRun:
				ticket.running = true
			case (result.State == TicketRunning) != ticket.running:
				t.Fatalf("ticket %s: %+v, %v, running %v", ticket.text, result, err, ticket.running)
			case err != nil && err.Verdict == verdict.NotRun && ticket.ran:
				t.Fatalf("ticket %s ran, and not-run %s is reported", ticket.text, err.Reason)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue":  func(*rapid.T) { all = append(all, &ticketState{text: tickets.Issue(now)}) },
			"begin":  begin,
			"resend": begin,
			"other request": func(t *rapid.T) {
				ticket := draw(t)
				if result, err := tickets.Begin(now, ticket.text, 2); ticket.running && (err == nil || err.Reason != verdict.KeyReused) {
					t.Fatalf("ticket %s with another request: %+v, %v", ticket.text, result, err)
				} else if result.State == TicketRun {
					tickets.Release(now, result.Ticket)
				}
			},
			"end": func(t *rapid.T) {
				ticket := draw(t)
				parsed, err := ParseTicket(ticket.text)
				if err != nil {
					t.Fatal(err)
				}
				switch rapid.IntRange(0, 2).Draw(t, "outcome") {
				case 0:
					tickets.Release(now, parsed)
				case 1:
					tickets.Record(now, parsed, &admission.Answer{Status: 200, Body: make([]byte, 40)})
					ticket.ran = ticket.ran || ticket.running
				default:
					tickets.RecordUncertain(now, parsed, verdict.UpstreamLost)
					ticket.ran = ticket.ran || ticket.running
				}
				ticket.running = false
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 40).Draw(t, "minutes")) * time.Minute
			},
			"": func(t *rapid.T) {
				if len(tickets.records) > limits.Records || tickets.retainedBytes > limits.Bytes || tickets.ended.Len() > limits.Records {
					t.Fatalf("%d records with %d bytes are kept", len(tickets.records), tickets.retainedBytes)
				}
			},
		})
	})
}

// Guards against accepting tickets that are forged, modified, or issued by another node or incarnation.
func TestTicketsAreAuthenticated(t *testing.T) {
	tickets := NewTickets("n.1", 3, []byte("secret"), TicketLimits{})
	text := tickets.Issue(time.Minute)
	fields := strings.Split(text, ".")
	changed := func(field int, value string) string {
		other := append([]string(nil), fields...)
		other[field] = value
		return strings.Join(other, ".")
	}
	for _, c := range []struct {
		name, text string
		want       verdict.Reason
	}{
		{"empty", "", verdict.KeyInvalid},
		{"no number", changed(3, "x"), verdict.KeyInvalid},
		{"other form of a number", changed(3, "01"), verdict.KeyInvalid},
		{"other serial", changed(3, "2"), verdict.KeyInvalid},
		{"other time of issue", changed(4, "ffff"), verdict.KeyInvalid},
		{"overflowing time", changed(4, "ffffffffffffffff"), verdict.KeyInvalid},
		{"other MAC", changed(5, strings.Repeat("0", 2*macBytes)), verdict.KeyInvalid},
		{"short MAC", changed(5, ""), verdict.KeyInvalid},
		{"other incarnation", changed(2, "2"), verdict.TicketLost},
		{"other node", changed(1, "2"), verdict.TicketLost},
	} {
		if result, err := tickets.Begin(time.Minute, c.text, 1); err == nil || err.Reason != c.want {
			t.Errorf("%s: %+v, %v, want %s", c.name, result, err, c.want)
		}
	}
	parsed, err := ParseTicket(text)
	if err != nil || parsed.Node != "n.1" || parsed.Incarnation != 3 || parsed.String() != text {
		t.Errorf("parse %s: %+v, %v", text, parsed, err)
	}
	if result, err := tickets.Begin(time.Minute, text, 1); result.State != TicketRun {
		t.Errorf("the ticket itself: %+v, %v", result, err)
	}
	if len(tickets.records) != 1 {
		t.Errorf("%d records are kept, want that of the ticket that runs", len(tickets.records))
	}
}
