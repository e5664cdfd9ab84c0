// Package operator serves the operators' API: queries about the fleet, and commands that change its configuration.
// Every response reports the age of its data and lists the nodes that did not report in time.
package operator

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Fleet is the interface of a daemon to the operators' API. Its methods are safe for concurrent use.
type Fleet interface {
	// Snapshot returns the current state of the fleet as the node has received it. The caller must not modify it. It must
	// be cheap, because an apply that waits calls it ten times a second.
	Snapshot() *Snapshot
	// Explain returns the target that a request would be sent to now, and the reasons against the other targets. It sends
	// no request.
	Explain(request ExplainRequest) Explanation

	// Documents implements the next three methods on top of a store.

	// ReadService reads the newest document of a service from the store, not from the node's cache. It returns
	// store.ErrNotFound, or store.ErrUnavailable.
	ReadService(ctx context.Context, name model.ServiceName) (StoredService, error)
	// SwapService writes a document if the service is at revision expect, 0 if it must not exist, and returns the new
	// revision. Its errors are those of store.Store's CompareAndSwap: *store.ConflictError, store.ErrUnavailable,
	// store.ErrUnknownOutcome.
	SwapService(ctx context.Context, expect int64, document *declaration.Document) (int64, error)
	// RemoveService deletes the document of a service if it is at revision expect. Its errors are those of
	// store.Store's CompareAndDelete.
	RemoveService(ctx context.Context, name model.ServiceName, expect int64) error

	// ReadAccounts reads the newest accounts of a group from the store, not from the node's cache. A group without a document has no
	// accounts and revision 0. It returns store.ErrUnavailable. Documents implements it and SwapAccounts, too.
	ReadAccounts(ctx context.Context, group int) (StoredAccounts, error)
	// SwapAccounts writes the accounts of a group if its document is at revision expect, 0 if it must not exist, and returns the new
	// revision. Its errors are those of SwapService.
	SwapAccounts(ctx context.Context, group int, expect int64, accounts *declaration.AccountGroup) (int64, error)

	// DrainImpact returns the capacity of the service without the targets that document drains, before and after target
	// is drained too. An empty target returns the current capacity. document is the newest one from the store, so that
	// concurrent drains of two operators cannot take the service below its capacity floor together.
	DrainImpact(document *declaration.Service, target model.TargetID) CapacityImpact

	// Forbid quarantines a request fingerprint on all nodes. Forbid, Release and WithdrawEjection are idempotent, so that
	// they can be retried after store.ErrUnknownOutcome.
	Forbid(ctx context.Context, fingerprint string) error
	// Release ends the quarantine of a fingerprint. It returns store.ErrNotFound if there is none.
	Release(ctx context.Context, fingerprint string) error
	// WithdrawEjection ends the ejection of a target. It returns store.ErrNotFound if there is none.
	WithdrawEjection(ctx context.Context, target model.TargetID) error
}
