package once

import "time"

const (
	defaultTicketFor     = time.Hour
	defaultTicketRecords = 1 << 16
	defaultTicketBytes   = 16 << 20
)

// TicketLimits bounds what Tickets keeps. Zero values mean the defaults.
type TicketLimits struct {
	// ValidFor is the time from issue in which a ticket may be run, and from the outcome in which its record is kept;
	// the default is one hour.
	ValidFor time.Duration
	// Records bounds the tickets that are running or have a record; the default is 65,536. Beyond it a ticket is
	// refused and may be sent again later.
	Records int
	// Bytes bounds the answers that are held, in bytes; the default is 16 MiB. The oldest are dropped beyond it.
	Bytes int64
}

func (l TicketLimits) withDefaults() TicketLimits {
	l.ValidFor = orDefault(l.ValidFor, defaultTicketFor)
	l.Records = orDefault(l.Records, defaultTicketRecords)
	l.Bytes = orDefault(l.Bytes, defaultTicketBytes)
	return l
}
