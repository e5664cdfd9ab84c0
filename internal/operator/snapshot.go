package operator

import (
	"iter"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Snapshot is the state of the fleet as one node has received it at one time. It is immutable.
type Snapshot struct {
	// Node is the responding node.
	Node model.NodeID
	// ConfigRevision is the store revision up to which the configuration is active on the node.
	ConfigRevision int64
	// Complete is false before the node has read the whole configuration.
	Complete bool
	Services []ServiceStatus
	// Accounts are the client accounts that are active on the node, in any order; nil for none.
	Accounts   iter.Seq[*declaration.Account]
	Nodes      []NodeStatus
	Ejections  []Ejection
	Quarantine []QuarantineEntry
	// Refusals, Failures and Retries are counts since the start of the node that is named in each entry.
	Refusals []ReasonCount
	Failures []ReasonCount
	Retries  []ReasonCount
}

// accounts returns the client accounts by name.
func (s *Snapshot) accounts() map[model.AccountName]*declaration.Account {
	byName := make(map[model.AccountName]*declaration.Account)
	for account := range s.eachAccount() {
		byName[account.Name] = account
	}
	return byName
}

func (s *Snapshot) eachAccount() iter.Seq[*declaration.Account] {
	if s.Accounts == nil {
		return func(func(*declaration.Account) bool) {}
	}
	return s.Accounts
}
