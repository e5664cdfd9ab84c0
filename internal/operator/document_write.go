package operator

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// documentWrite is the replacement of one stored document.
type documentWrite struct {
	// title is the kind and the name of the document, such as "service proofroom".
	title string
	// changeID identifies the write. The new document contains it.
	changeID string
	// fields identify the document in events.
	fields []events.Field
	// swap writes the new document if the stored one is at the expected revision, and returns the new revision.
	swap func(context.Context) (int64, error)
	// read returns the change ID and the revision of the stored document.
	read func(context.Context) (changeID string, revision int64, err error)
	// compare returns the change ID of another stored document, and the differences between it and the new one. The value is nil if
	// there is no document.
	compare func(value []byte) (changeID string, differences []statement.Difference, err error)
}

// resolveConflict returns the stored revision if the conflicting document is this node's own write, whose response was
// lost, and a *conflictError if another operator wrote it.
func (w *documentWrite) resolveConflict(conflict *store.ConflictError, outcomeUnknown bool) (int64, error) {
	var value []byte
	if conflict.Exists {
		value = conflict.Current.Value
	}
	changeID, differences, err := w.compare(value)
	if err != nil {
		return 0, errors.Wrap(err, "the store holds another document, which is not valid")
	}
	if conflict.Exists && changeID == w.changeID {
		return conflict.Current.Revision, nil
	}
	return 0, &conflictError{
		title: w.title, currentRevision: conflict.Current.Revision, differences: differences, outcomeUnknown: outcomeUnknown,
	}
}

// resolveByChangeID resolves the outcome of a write that is still unknown after all attempts. It compares the change ID
// of the stored document with that of the write.
func (w *documentWrite) resolveByChangeID(ctx context.Context) (int64, error) {
	changeID, revision, err := w.read(ctx)
	if err == nil && changeID == w.changeID {
		return revision, nil
	}
	return 0, errors.Wrapf(store.ErrUnknownOutcome, "%s, change %s: apply it again to settle it", w.title, w.changeID)
}
