package statement

import "fmt"

// Difference is one thing in which two declarations of a service differ.
type Difference struct {
	// Field is what differs, such as "floor" or the head of a route.
	Field string
	// Old and New are the values in the form of the language, empty if the field is absent there.
	Old string
	New string
}

// String returns the difference as one line that begins with +, - or ~.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Field, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Field, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Field, d.Old, d.New)
}
