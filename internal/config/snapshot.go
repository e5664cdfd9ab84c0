package config

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Snapshot is the configuration in force at one moment. It is never changed after it was published.
type Snapshot struct {
	// Complete is the store revision up to which the configuration is complete.
	Complete int64
	// Services are the declarations in force.
	Services map[model.ServiceName]*declaration.Service
	// Revisions are the store revisions of the declarations in force.
	Revisions map[model.ServiceName]int64
	// Rejected are the newest documents that are not in force, by key.
	Rejected map[string]Rejection
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Services:  map[model.ServiceName]*declaration.Service{},
		Revisions: map[model.ServiceName]int64{},
		Rejected:  map[string]Rejection{},
	}
}
