package eject

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/model"
)

var (
	// ErrNoEntry means that the document has no entry that the caller may renew or withdraw. A holder whose entry was
	// garbage-collected must call Request again.
	ErrNoEntry = errors.New("the document has no such entry")
	// ErrExists means that the target has an entry already.
	ErrExists = errors.New("the target has an entry already")
	// ErrWithdrawn means that the entry was withdrawn. It can be requested again after it has been garbage-collected.
	ErrWithdrawn = errors.New("the entry was withdrawn")
	// ErrUnchanged means that there is nothing to garbage-collect.
	ErrUnchanged = errors.New("no entry of the document is due to be retired or removed")
)

// FloorError means that the capacity floor does not allow the ejection.
type FloorError struct {
	// Removal holds the capacity figures of the check.
	Removal capacity.Removal
}

// Error implements the error interface.
func (e *FloorError) Error() string { return "floor: " + e.Removal.String() }

// ShareError means that the service already has the maximum number of ejected targets.
type ShareError struct {
	Target model.TargetID
	// Ejected is the number of targets with an entry, Limit the maximum, and Targets the number of all targets.
	Ejected, Limit, Targets int
}

// Error implements the error interface.
func (e *ShareError) Error() string {
	return fmt.Sprintf("ejecting target %s: %d of %d targets are ejected, limit %d", e.Target, e.Ejected, e.Targets, e.Limit)
}
