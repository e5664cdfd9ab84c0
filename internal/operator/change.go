package operator

import (
	"bytes"
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// dangerousChange is the error of a change that needs force.
const dangerousChange = "the change is dangerous; apply it with force if it is meant"

// change is the application of one declaration.
type change struct {
	server *Server
	wanted *statement.Declaration
	dryRun bool
	force  bool

	// current is nil if the service does not exist.
	current  *declaration.Service
	revision int64
	result   *operatorv1.ServiceChange
}

func (c *change) apply(ctx context.Context) *operatorv1.ServiceChange {
	c.result = &operatorv1.ServiceChange{Service: string(c.wanted.Service.Name)}
	if err := c.load(ctx); err != nil {
		c.reject(err)
		return c.result
	}
	c.compare()
	switch {
	case c.result.Outcome != "":
	case !c.checkDangers():
	case c.dryRun:
		c.result.Outcome = c.successOutcome()
	default:
		c.write(ctx)
	}
	c.emitResult()
	return c.result
}

// load reads the newest document from the store and copies its drains into the declaration, which does not list drains.
func (c *change) load(ctx context.Context) error {
	stored, err := c.server.fleet.ReadService(ctx, c.wanted.Service.Name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	c.current = &stored.Document.Service
	c.revision = stored.Revision
	c.wanted.Service.Draining = c.current.Draining
	return nil
}

// compare sets the outcome if the service already matches the declaration, or if the declaration expects another
// revision than the current one.
func (c *change) compare() {
	c.result.Revision = c.revision
	differences := statement.Diff(c.current, &c.wanted.Service)
	c.result.Differences = differenceLines(differences)
	if c.current != nil && sameEncoding(c.current, &c.wanted.Service) {
		c.result.Outcome = OutcomeUnchanged
		return
	}
	if c.wanted.Revision == statement.AnyRevision || c.wanted.Revision == c.revision {
		return
	}
	c.result.Outcome = OutcomeConflict
	text := fmt.Sprintf("the declaration was made for revision %d, and the service is at revision %d", c.wanted.Revision, c.revision)
	if c.revision == 0 {
		text = fmt.Sprintf("the declaration was made for revision %d, and the service does not exist", c.wanted.Revision)
	}
	c.result.Error = text
}

func sameEncoding(a, b *declaration.Service) bool {
	first, errA := a.Encode()
	second, errB := b.Encode()
	return errA == nil && errB == nil && bytes.Equal(first, second)
}

// checkDangers reports whether the change may be applied. A dangerous change without force is rejected.
func (c *change) checkDangers() bool {
	hasTargets, slots := c.capacity()
	dangers := statement.Dangers(c.current, &c.wanted.Service, slots)
	c.result.Warnings = dangers
	if !hasTargets && c.wanted.Service.FloorSlots > 0 {
		c.result.Warnings = append(c.result.Warnings, "no target of the service is known, so that the floor cannot be compared with the capacity")
	}
	if len(dangers) == 0 || c.force {
		return true
	}
	c.result.Outcome = OutcomeRejected
	c.result.Error = dangerousChange
	return false
}

// capacity returns the slots of the service's targets. hasTargets is false if the node has no record of such a target.
func (c *change) capacity() (hasTargets bool, slots int) {
	total := capacitiesOf(c.server.fleet.Snapshot())[c.wanted.Service.Name]
	if total.targets == 0 {
		return false, statement.UnknownCapacity
	}
	return true, total.slots
}

func (c *change) successOutcome() string {
	if c.current == nil {
		return OutcomeCreated
	}
	return OutcomeChanged
}

func (c *change) write(ctx context.Context) {
	document := &declaration.Document{Service: c.wanted.Service}
	revision, err := c.server.writeService(ctx, c.revision, document)
	if err == nil {
		c.result.Outcome = c.successOutcome()
		c.result.Revision = revision
		return
	}
	var conflict *conflictError
	if !errors.As(err, &conflict) {
		c.reject(err)
		return
	}
	c.result.Outcome = OutcomeConflict
	c.result.Revision = conflict.currentRevision
	c.result.Differences = differenceLines(conflict.differences)
	c.result.Error = conflict.headline()
}

func (c *change) reject(err error) {
	c.result.Outcome = OutcomeRejected
	c.result.Error = err.Error()
}

func (c *change) emitResult() {
	service := events.ServiceField(c.wanted.Service.Name)
	switch c.result.Outcome {
	case OutcomeConflict:
		c.server.emit(events.ApplyConflict, service, events.RevisionField(c.result.Revision))
	case OutcomeCreated, OutcomeChanged:
		if !c.dryRun {
			c.server.emit(events.ApplyAccepted, service, events.RevisionField(c.result.Revision))
		}
	}
}
