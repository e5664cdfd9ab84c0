package eject

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/capacity"
	"github.com/sardinereach/sardinereach/internal/model"
)

var (
	// ErrNoEntry means that the document has no entry that the caller may renew or withdraw. The holder of an entry
	// that was collected gets it, and asks again with Request.
	ErrNoEntry = errors.New("the document has no such entry")
	// ErrExists means that the target has an entry already.
	ErrExists = errors.New("the target has an entry already")
	// ErrWithdrawn means that the entry was withdrawn. It can be asked for again after it was collected.
	ErrWithdrawn = errors.New("the entry was withdrawn")
	// ErrUnchanged means that there is nothing to collect.
	ErrUnchanged = errors.New("the document stays as it is")
)

// FloorError means that the floor does not allow the ejection.
type FloorError struct {
	// Removal holds the figures.
	Removal capacity.Removal
}

// Error implements the error interface.
func (e *FloorError) Error() string { return "floor: " + e.Removal.String() }

// ShareError means that as many targets of the service are ejected as may be at a time.
type ShareError struct {
	Target model.TargetID
	// Ejected is the number of targets with an entry, Limit the greatest number allowed, of Targets in all.
	Ejected, Limit, Targets int
}

// Error implements the error interface.
func (e *ShareError) Error() string {
	return fmt.Sprintf("ejecting target %s: %d of %d targets are ejected, limit %d", e.Target, e.Ejected, e.Targets, e.Limit)
}
