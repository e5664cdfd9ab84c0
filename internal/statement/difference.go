package statement

import "fmt"

// Difference is one field that differs between two declarations of a service.
type Difference struct {
	// Field is the name of the field, such as "floor", or "route" with the methods, path and host of the route.
	Field string
	// Old and New are the values in the syntax of the language. They are empty if the field is absent.
	Old string
	New string
}

// String returns the difference as one line that begins with + for an added, - for a removed and ~ for a changed field.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return fmt.Sprintf("+ %s: %s", d.Field, d.New)
	case d.New == "":
		return fmt.Sprintf("- %s: %s", d.Field, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Field, d.Old, d.New)
}
