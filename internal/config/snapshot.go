package config

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/account"
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
	// Accounts are the client accounts. The table is the same until accounts change, or until they become complete or partial.
	Accounts *account.Table
	// Rejected are the newest documents that are not active, by key.
	Rejected map[string]Rejection
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Services:  map[model.ServiceName]*declaration.Service{},
		Revisions: map[model.ServiceName]int64{},
		Rejected:  map[string]Rejection{},
	}
}

// lacksAccounts reports whether the document of a group of accounts is not active.
func (s *Snapshot) lacksAccounts() bool {
	for key := range s.Rejected {
		if strings.HasPrefix(key, AccountPrefix) {
			return true
		}
	}
	return false
}
