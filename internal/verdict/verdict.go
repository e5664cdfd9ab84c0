// Package verdict describes request outcomes: whether the request may have run, and why it was refused, failed or was
// retried.
package verdict

// Verdict indicates whether a request ran at an upstream.
type Verdict uint8

const (
	// Unknown is the zero value; no outcome carries it.
	Unknown Verdict = iota
	// NotRun means that the request did not run and will not run under its attempt ID.
	NotRun
	// MayHaveRun means that the request may have run, or may still be running.
	MayHaveRun
	// Ran means that an upstream responded to the request.
	Ran
)

var names = [...]string{"unknown", "not-run", "may-have-run", "ran"}

// String returns the form used in the Sardinereach-Verdict header.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return names[Unknown]
	}
	return names[v]
}

// Parse returns the verdict with the given String form, and false if there is none.
func Parse(s string) (Verdict, bool) {
	for i, name := range names {
		if i != int(Unknown) && name == s {
			return Verdict(i), true
		}
	}
	return Unknown, false
}
