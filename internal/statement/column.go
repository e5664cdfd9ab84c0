package statement

// Column describes one column of a table.
type Column struct {
	Name string
	// Numeric reports whether the cells are compared and sorted as numbers.
	Numeric bool
	// Hidden reports whether the column is shown only if the statement lists it.
	Hidden bool
}

func textColumn(name string) Column    { return Column{Name: name} }
func numericColumn(name string) Column { return Column{Name: name, Numeric: true} }
func hidden(c Column) Column           { c.Hidden = true; return c }
func reasonColumns() []Column {
	return []Column{textColumn("reason"), textColumn("node"), numericColumn("count")}
}
func columnNames(columns []Column) []string {
	return mapSlice(columns, func(column Column) string { return column.Name })
}

// columnsByKind lists the columns of each kind in the order of the cells of a row. Durations are in milliseconds.
var columnsByKind = map[Kind][]Column{
	Services: {
		textColumn("service"), numericColumn("revision"), numericColumn("floor"), numericColumn("slots"),
		numericColumn("usable"), numericColumn("targets"), numericColumn("routes"), textColumn("policy"),
		hidden(textColumn("prefer")), hidden(textColumn("draining")),
	},
	Targets: {
		textColumn("target"), textColumn("service"), textColumn("node"), textColumn("phase"), numericColumn("slots"),
		numericColumn("in_flight"), numericColumn("queued"), textColumn("state"), numericColumn("age_ms"),
		hidden(textColumn("domain")), hidden(textColumn("region")), hidden(textColumn("address")),
		hidden(numericColumn("ramp")), hidden(numericColumn("successes")), hidden(numericColumn("failures")),
		hidden(numericColumn("first_byte_ms")),
	},
	Nodes: {
		textColumn("node"), textColumn("region"), textColumn("domain"), numericColumn("revision"),
		numericColumn("targets"), textColumn("state"), numericColumn("age_ms"), hidden(numericColumn("incarnation")),
		hidden(textColumn("peers")), hidden(textColumn("callers")), hidden(textColumn("operators")),
	},
	Routes: {
		textColumn("service"), textColumn("host"), textColumn("methods"), textColumn("path"), textColumn("class"),
		numericColumn("timeout_ms"), textColumn("priority"), hidden(numericColumn("first_byte_ms")),
		hidden(textColumn("retry_on")), hidden(textColumn("fail_on")), hidden(textColumn("requires")),
	},
	Ejections: {
		textColumn("target"), textColumn("service"), textColumn("scope"), textColumn("cause"),
		numericColumn("since_ms"), numericColumn("remaining_ms"),
	},
	Refusals: reasonColumns(),
	Retries:  reasonColumns(),
	Revisions: {
		textColumn("service"), numericColumn("revision"), numericColumn("nodes_in_force"),
		numericColumn("nodes_behind"),
	},
	Quarantine: {
		textColumn("fingerprint"), textColumn("state"), textColumn("service"), numericColumn("losses"),
		numericColumn("remaining_ms"),
	},
	Accounts: {
		textColumn("account"), numericColumn("keys"), numericColumn("rank"), numericColumn("rate"), numericColumn("burst"),
		numericColumn("group"), textColumn("state"), hidden(textColumn("key_ids")), hidden(textColumn("digest")),
	},
}

// Columns returns the columns of a kind in the order of the cells of a row.
func Columns(kind Kind) []Column { return columnsByKind[kind] }

func findColumn(kind Kind, name string) (Column, bool) {
	for _, column := range columnsByKind[kind] {
		if column.Name == name {
			return column, true
		}
	}
	return Column{}, false
}

func mapSlice[A, B any](list []A, convert func(A) B) []B {
	converted := make([]B, len(list))
	for i, value := range list {
		converted[i] = convert(value)
	}
	return converted
}
