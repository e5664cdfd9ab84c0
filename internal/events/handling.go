package events

// Handling is how the node handled a request for a reason.
type Handling uint8

const (
	// Refused means that the caller received the verdict not-run.
	Refused Handling = iota
	// Failed means that the caller received the verdict may-have-run.
	Failed
	// Retried means that the fleet retried the request.
	Retried
)

var handlingNames = [...]string{"refused", "failed", "retried"}

// String returns the form used in the outcome field.
func (h Handling) String() string {
	if int(h) >= len(handlingNames) {
		return "invalid"
	}
	return handlingNames[h]
}
