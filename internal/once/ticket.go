package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxTicketBytes is the length of the longest ticket that is parsed.
const maxTicketBytes = 512

// ticketFields is the number of fields after the node's name, which may itself contain the separator.
const ticketFields = 4

// Ticket is an operation ticket. It allows one request to run at the incarnation that issued it.
type Ticket struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	Serial      uint64
	// Issued is the time of issue on the issuing node's monotonic clock, in milliseconds.
	Issued time.Duration
	mac    string
}

// ParseTicket parses a ticket, so that any node can forward it to the issuing node. It does not check the MAC; only the
// issuing incarnation can.
func ParseTicket(text string) (Ticket, error) {
	fields := strings.Split(text, ".")
	if len(fields) <= ticketFields || len(text) > maxTicketBytes {
		return Ticket{}, errors.New("ticket: use the form <node>.<incarnation>.<serial>.<issued>.<mac>")
	}
	first := len(fields) - ticketFields
	var numbers [ticketFields - 1]uint64
	for i := range numbers {
		number, err := strconv.ParseUint(fields[first+i], 16, 64)
		if err != nil {
			return Ticket{}, errors.Wrap(err, "ticket")
		}
		numbers[i] = number
	}
	ticket := Ticket{
		Node:        model.NodeID(strings.Join(fields[:first], ".")),
		Incarnation: model.Incarnation(numbers[0]),
		Serial:      numbers[1],
		Issued:      time.Duration(numbers[2]) * time.Millisecond,
		mac:         fields[len(fields)-1],
	}
	if ticket.Node == "" || ticket.String() != text {
		return Ticket{}, errors.New("ticket: not in canonical form")
	}
	return ticket, nil
}

// String returns the ticket in the form that callers send.
func (t Ticket) String() string { return t.signedPart() + "." + t.mac }

// signedPart returns the text that the MAC covers.
func (t Ticket) signedPart() string {
	return fmt.Sprintf("%s.%x.%x.%x", t.Node, uint64(t.Incarnation), t.Serial, t.Issued.Milliseconds())
}
