// Package events writes the numbered log events of a daemon through klog. The catalogue lists every event and its fields.
// No other fields are written, so that bodies, headers and tokens cannot reach the log. Each event has a rate limit, and
// the number of suppressed events is written with the next one.
package events

// Event is one entry of the catalogue. Numbers are stable: a number is never reused for another event.
type Event struct {
	Number   int
	Name     string
	Severity Severity
	Text     string
	// Fields lists the keys of the fields that the event may carry.
	Fields []Key
	// PerSecond is the rate limit and the burst of the event; 0 means eventsPerSecond and eventBurst.
	PerSecond int
}

// allows reports whether the catalogue lists the field for the event.
func (e *Event) allows(key Key) bool {
	for _, field := range e.Fields {
		if field == key {
			return true
		}
	}
	return false
}
