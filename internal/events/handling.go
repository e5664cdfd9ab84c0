package events

// Handling says what became of a request for a reason.
type Handling uint8

const (
	// Refused means that the caller was told that the request was not run.
	Refused Handling = iota
	// Failed means that the caller was told that the request may have run.
	Failed
	// Retried means that the fleet tried the request again.
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
