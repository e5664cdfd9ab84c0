// Package events writes the numbered log events of a daemon over klog. The catalogue lists every event; an event carries
// only the fields that the catalogue lists for it, so that bodies, headers and tokens cannot reach the log. Each event
// is limited in rate, and the number of events held back is written with the next one.
package events

// Event is one entry of the catalogue. Numbers are stable: a number is never given to another event.
type Event struct {
	Number   int
	Name     string
	Severity Severity
	Text     string
	// Fields lists the keys of the fields that the event may carry.
	Fields []Key
	// PerSecond bounds the lines of the event in a second; 0 means the bound of most events.
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
