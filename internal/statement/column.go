package statement

// Column describes one column of a table.
type Column struct {
	Name string
	// Numeric columns are compared and sorted as numbers.
	Numeric bool
	// Hidden columns are shown only if the statement names them.
	Hidden bool
}

func words(name string) Column        { return Column{Name: name} }
func numbers(name string) Column      { return Column{Name: name, Numeric: true} }
func hidden(c Column) Column          { c.Hidden = true; return c }
func reasonColumns() []Column         { return []Column{words("reason"), words("node"), numbers("count")} }
func columnNames(c []Column) []string { return mapSlice(c, func(c Column) string { return c.Name }) }

// columnsByKind lists the columns of each kind in the order of their cells. Times are in milliseconds.
var columnsByKind = map[Kind][]Column{
	Services: {
		words("service"), numbers("revision"), numbers("floor"), numbers("slots"), numbers("usable"), numbers("targets"),
		numbers("routes"), words("policy"), hidden(words("prefer")), hidden(words("draining")),
	},
	Targets: {
		words("target"), words("service"), words("node"), words("phase"), numbers("slots"), numbers("in_flight"),
		numbers("queued"), words("state"), numbers("age_ms"), hidden(words("domain")), hidden(words("region")),
		hidden(words("address")), hidden(numbers("ramp")), hidden(numbers("successes")), hidden(numbers("failures")),
		hidden(numbers("first_byte_ms")),
	},
	Nodes: {
		words("node"), words("region"), words("domain"), numbers("revision"), numbers("targets"), words("state"),
		numbers("age_ms"), hidden(numbers("incarnation")), hidden(words("peers")), hidden(words("callers")),
		hidden(words("operators")),
	},
	Routes: {
		words("service"), words("host"), words("methods"), words("path"), words("class"), numbers("timeout_ms"),
		words("priority"), hidden(numbers("first_byte_ms")), hidden(words("retry_on")), hidden(words("fail_on")),
	},
	Ejections: {
		words("target"), words("service"), words("scope"), words("cause"), numbers("since_ms"), numbers("remaining_ms"),
	},
	Refusals: reasonColumns(),
	Retries:  reasonColumns(),
	Revisions: {
		words("service"), numbers("revision"), numbers("nodes_in_force"), numbers("nodes_behind"),
	},
	Quarantine: {
		words("fingerprint"), words("state"), words("service"), numbers("losses"), numbers("remaining_ms"),
	},
}

// Columns returns the columns of a kind in the order of their cells.
func Columns(kind Kind) []Column { return columnsByKind[kind] }

func findColumn(kind Kind, name string) (Column, bool) {
	for _, column := range columnsByKind[kind] {
		if column.Name == name {
			return column, true
		}
	}
	return Column{}, false
}

func mapSlice[A, B any](from []A, convert func(A) B) []B {
	to := make([]B, len(from))
	for i, value := range from {
		to[i] = convert(value)
	}
	return to
}
