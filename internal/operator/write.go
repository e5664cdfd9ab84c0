package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// maxWriteAttempts limits the attempts of a write whose outcome is unknown.
const maxWriteAttempts = 5

// write stores the document by compare-and-swap and resolves unknown outcomes. It sets the document's change ID and
// retries a swap whose response was lost. The retry takes effect only if the first attempt did not. Otherwise it fails
// with a conflict, and the stored document has the change ID.
func (s *Server) write(ctx context.Context, expect int64, document *declaration.Document) (int64, error) {
	document.ChangeID = s.changes.next()
	outcomeUnknown := false
	for attempt := 0; attempt < maxWriteAttempts; attempt++ {
		revision, err := s.fleet.SwapService(ctx, expect, document)
		if err == nil {
			return revision, nil
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict):
			return resolveConflict(conflict, document, outcomeUnknown)
		case errors.Is(err, store.ErrUnknownOutcome):
			outcomeUnknown = true
			s.emit(events.StoreOutcomeUnknown, events.OperationField("compare_and_swap"), events.ServiceField(document.Name))
		case errors.Is(err, store.ErrUnavailable) && outcomeUnknown:
		default:
			return 0, err
		}
		if err := s.pause(ctx); err != nil {
			return 0, errors.Wrap(store.ErrUnknownOutcome, err.Error())
		}
	}
	return s.resolveByChangeID(ctx, document)
}

// resolveConflict returns the stored revision if the conflicting document is this node's own write, whose response was
// lost, and a *conflictError if another operator wrote it.
func resolveConflict(conflict *store.ConflictError, wanted *declaration.Document, outcomeUnknown bool) (int64, error) {
	failure := &conflictError{service: wanted.Name, outcomeUnknown: outcomeUnknown}
	if !conflict.Exists {
		failure.differences = statement.Diff(nil, &wanted.Service)
		return 0, failure
	}
	current, err := declaration.DecodeDocument(conflict.Current.Value)
	if err != nil {
		return 0, errors.Wrap(err, "the store holds another document, which is not valid")
	}
	if current.ChangeID == wanted.ChangeID {
		return conflict.Current.Revision, nil
	}
	failure.currentRevision = conflict.Current.Revision
	failure.differences = statement.Diff(&current.Service, &wanted.Service)
	return 0, failure
}

// resolveByChangeID resolves the outcome of a write that is still unknown after all attempts. It compares the change ID
// of the stored document with that of the write.
func (s *Server) resolveByChangeID(ctx context.Context, document *declaration.Document) (int64, error) {
	current, err := s.fleet.ReadService(ctx, document.Name)
	if err == nil && current.Document.ChangeID == document.ChangeID {
		return current.Revision, nil
	}
	return 0, errors.Wrapf(store.ErrUnknownOutcome, "service %s, change %s: apply it again to settle it", document.Name, document.ChangeID)
}

// retryWrite runs an idempotent write and retries it while its outcome is unknown, for at most maxWriteAttempts calls. It
// returns the error of the last call, or store.ErrUnknownOutcome if the context is done first. outcomeUnknown is true if
// an earlier call may have taken effect.
func (s *Server) retryWrite(ctx context.Context, call func() error) (outcomeUnknown bool, err error) {
	for attempt := 0; attempt < maxWriteAttempts; attempt++ {
		err = call()
		unknown := errors.Is(err, store.ErrUnknownOutcome)
		if !unknown && !(outcomeUnknown && errors.Is(err, store.ErrUnavailable)) {
			return outcomeUnknown, err
		}
		outcomeUnknown = true
		if pauseErr := s.pause(ctx); pauseErr != nil {
			return outcomeUnknown, errors.Wrap(store.ErrUnknownOutcome, pauseErr.Error())
		}
	}
	return outcomeUnknown, err
}

// pause waits for one poll interval, or returns the context's error.
func (s *Server) pause(ctx context.Context) error {
	timer := time.NewTimer(s.options.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
