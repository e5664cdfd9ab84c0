package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/store"
)

// maxWriteAttempts limits the attempts of a write whose outcome is unknown.
const maxWriteAttempts = 5

// write replaces a document by compare-and-swap and resolves unknown outcomes. It retries a swap whose response was lost. The retry
// takes effect only if the first attempt did not. Otherwise it fails with a conflict, and the stored document has the change ID.
func (s *Server) write(ctx context.Context, w *documentWrite) (int64, error) {
	outcomeUnknown := false
	for attempt := 0; attempt < maxWriteAttempts; attempt++ {
		revision, err := w.swap(ctx)
		if err == nil {
			return revision, nil
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict):
			return w.resolveConflict(conflict, outcomeUnknown)
		case errors.Is(err, store.ErrUnknownOutcome):
			outcomeUnknown = true
			s.emit(events.StoreOutcomeUnknown, append([]events.Field{events.OperationField("compare_and_swap")}, w.fields...)...)
		case errors.Is(err, store.ErrUnavailable) && outcomeUnknown:
		default:
			return 0, err
		}
		if err := s.pause(ctx); err != nil {
			return 0, errors.Wrap(store.ErrUnknownOutcome, err.Error())
		}
	}
	return w.resolveByChangeID(ctx)
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
