package once

import "time"

const (
	defaultTicketTTL     = time.Hour
	defaultTicketRecords = 1 << 16
	defaultTicketBytes   = 16 << 20
)

// TicketLimits bounds the records of Tickets. Zero values select the defaults.
type TicketLimits struct {
	// TTL is the time after issue within which a ticket may start to run, and the time after the outcome for which its
	// record is kept; the default is one hour.
	TTL time.Duration
	// Records bounds the tickets that are running or have a record; the default is 65,536. Beyond it a ticket is
	// refused and may be sent again later.
	Records int
	// Bytes bounds the retained responses, in bytes; the default is 16 MiB. Beyond it the oldest are dropped.
	Bytes int64
}

func (l TicketLimits) withDefaults() TicketLimits {
	l.TTL = orDefault(l.TTL, defaultTicketTTL)
	l.Records = orDefault(l.Records, defaultTicketRecords)
	l.Bytes = orDefault(l.Bytes, defaultTicketBytes)
	return l
}
