package statement

// Show asks for a table.
type Show struct {
	Kind Kind
	// Where holds conditions that all must hold.
	Where []Condition
	// Columns holds the names of the columns to show; empty means the default columns of the kind.
	Columns []string
	// SortBy is a column; empty keeps the order of the table.
	SortBy     string
	Descending bool
	// Limit is the greatest number of rows; 0 means all.
	Limit int
}

// Verb implements Statement.
func (*Show) Verb() string { return "show" }
