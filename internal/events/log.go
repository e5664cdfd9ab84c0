package events

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Log writes events to a sink. Its methods are safe for concurrent use.
type Log struct {
	sink     Sink
	now      func() time.Time
	limiters map[int]*limiter
}

// New returns a log that writes to sink. now is the clock of the rate limits, time.Now in a daemon.
func New(sink Sink, now func() time.Time) *Log {
	all := All()
	limiters := make(map[int]*limiter, len(all))
	for _, event := range all {
		limiters[event.Number] = newLimiter(event)
	}
	return &Log{sink: sink, now: now, limiters: limiters}
}

// Emit writes the event, or counts it as suppressed if the event exceeds its rate limit. Fields that the catalogue does
// not list for the event are left out.
func (l *Log) Emit(event *Event, fields ...Field) {
	limit, ok := l.limiters[event.Number]
	if !ok {
		return
	}
	suppressed, ok := limit.allow(l.now())
	if !ok {
		return
	}
	l.sink.Write(event.Severity, format(event, fields, suppressed))
}

// Flush writes the suppressed count of each event that has one. A daemon calls it every minute and before it exits, so
// that the last count of a burst is not lost.
func (l *Log) Flush() {
	for _, event := range All() {
		if suppressed := l.limiters[event.Number].takeSuppressed(); suppressed > 0 {
			l.sink.Write(event.Severity, format(event, nil, suppressed))
		}
	}
}

// format returns one line: number, name, text, then key="value" pairs.
func format(event *Event, fields []Field, suppressed uint64) string {
	var line strings.Builder
	fmt.Fprintf(&line, "SR%04d %s: %s", event.Number, event.Name, event.Text)
	for _, field := range fields {
		if event.allows(field.key) {
			fmt.Fprintf(&line, " %s=%s", field.key, strconv.Quote(field.value))
		}
	}
	if suppressed > 0 {
		fmt.Fprintf(&line, " held_back=%d", suppressed)
	}
	return line.String()
}
