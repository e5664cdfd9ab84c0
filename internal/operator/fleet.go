// Package operator serves the operators' API: questions about the fleet, and commands that change its configuration.
// Every answer says how old its facts are and which nodes did not report.
package operator

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Fleet is what a daemon offers to the operators' API. Its methods are safe for concurrent use.
type Fleet interface {
	// Snapshot returns the node's present view. The caller does not change it. An apply that waits calls it ten times a
	// second, so that it has to be cheap.
	Snapshot() *Snapshot
	// Explain says which target a request would get now, and why no other one. It dispatches nothing.
	Explain(request ExplainRequest) Explanation

	// Documents implements the next three methods over a store.

	// ReadService reads the newest document of a service from the store, not from the node's view. It returns
	// store.ErrNotFound, or store.ErrUnavailable.
	ReadService(ctx context.Context, name model.ServiceName) (StoredService, error)
	// SwapService writes a document if the service is at revision expect, 0 if it must not exist, and returns the new
	// revision. Its errors are those of store.Store's CompareAndSwap: *store.ConflictError, store.ErrUnavailable,
	// store.ErrUnknownOutcome.
	SwapService(ctx context.Context, expect int64, document *declaration.Document) (int64, error)
	// RemoveService deletes the document of a service if it is at revision expect. Its errors are those of
	// store.Store's CompareAndDelete.
	RemoveService(ctx context.Context, name model.ServiceName, expect int64) error

	// DrainFigures returns the capacity of the service without the targets that document drains and without target.
	// An empty target gives the present figures. document is the newest from the store, so that
	// two operators who drain at the same time both meet the floor.
	DrainFigures(document *declaration.Service, target model.TargetID) Figures

	// Forbid quarantines a request fingerprint on all nodes. Repeating it has no further effect, as with Release and
	// WithdrawEjection, which allows a repetition after store.ErrUnknownOutcome.
	Forbid(ctx context.Context, fingerprint string) error
	// Release ends the quarantine of a fingerprint. It returns store.ErrNotFound if there is none.
	Release(ctx context.Context, fingerprint string) error
	// WithdrawEjection ends the ejection of a target. It returns store.ErrNotFound if there is none.
	WithdrawEjection(ctx context.Context, target model.TargetID) error
}
