package statement

// Kind is the name of a table that Show can query.
type Kind string

// Kinds of tables.
const (
	Services   Kind = "services"
	Targets    Kind = "targets"
	Nodes      Kind = "nodes"
	Routes     Kind = "routes"
	Ejections  Kind = "ejections"
	Refusals   Kind = "refusals"
	Retries    Kind = "retries"
	Revisions  Kind = "revisions"
	Quarantine Kind = "quarantine"
	Accounts   Kind = "accounts"
)

// Kinds returns all kinds, in the order in which error messages list them.
func Kinds() []Kind {
	return []Kind{Services, Targets, Nodes, Routes, Ejections, Refusals, Retries, Revisions, Quarantine, Accounts}
}

func kindNames() []string {
	var names []string
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return names
}
