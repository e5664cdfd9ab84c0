package events

// Severity is the urgency of an event.
type Severity uint8

const (
	// Info is a normal change of state.
	Info Severity = iota
	// Warning is a fault that the node handles by itself.
	Warning
	// Error is a fault that needs an operator.
	Error
)

var severityNames = [...]string{"info", "warning", "error"}

// String returns the form used in the catalogue.
func (s Severity) String() string {
	if int(s) >= len(severityNames) {
		return "invalid"
	}
	return severityNames[s]
}
