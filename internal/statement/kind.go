package statement

// Kind is a table that Show reads.
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
)

// Kinds returns every kind.
func Kinds() []Kind {
	return []Kind{Services, Targets, Nodes, Routes, Ejections, Refusals, Retries, Revisions, Quarantine}
}

func kindNames() []string {
	var names []string
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return names
}
