package statement

// Show queries one table.
type Show struct {
	Kind Kind
	// Where lists conditions; a row must satisfy all of them.
	Where []Condition
	// Columns lists the names of the columns to show. If it is empty, the columns that are not hidden are shown.
	Columns []string
	// SortBy is the name of the sort column. If it is empty, the rows keep the order of the table.
	SortBy     string
	Descending bool
	// Limit is the maximum number of rows; 0 means no limit.
	Limit int
}

// Verb implements Statement.
func (*Show) Verb() string { return "show" }
