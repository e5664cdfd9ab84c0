package config

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Snapshot is the active configuration at one time. It is immutable.
type Snapshot struct {
	// Complete is the store revision up to which the configuration is complete.
	Complete int64
	// Services are the active declarations.
	Services map[model.ServiceName]*declaration.Service
	// Revisions are the store revisions of the active declarations.
	Revisions map[model.ServiceName]int64
	// Accounts are the client accounts. The map is never nil.
	Accounts map[model.AccountName]*declaration.Account
	// Rejected are the newest documents that are not active, by key.
	Rejected map[string]Rejection
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Services:  map[model.ServiceName]*declaration.Service{},
		Revisions: map[model.ServiceName]int64{},
		Accounts:  map[model.AccountName]*declaration.Account{},
		Rejected:  map[string]Rejection{},
	}
}
