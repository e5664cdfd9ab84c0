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

// maxWriteTries bounds the repetitions of a write whose answers are lost.
const maxWriteTries = 5

// write swaps the document in and settles lost answers. It gives the document a change ID and repeats a swap whose answer
// was lost: the repetition takes effect only if the first one did not, and otherwise meets a conflict with the document
// that carries the change ID.
func (s *Server) write(ctx context.Context, expect int64, document *declaration.Document) (int64, error) {
	document.ChangeID = s.changes.next()
	uncertain := false
	for try := 0; try < maxWriteTries; try++ {
		revision, err := s.fleet.SwapService(ctx, expect, document)
		if err == nil {
			return revision, nil
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict):
			return settleConflict(conflict, document, uncertain)
		case errors.Is(err, store.ErrUnknownOutcome):
			uncertain = true
			s.emit(events.StoreOutcomeUnknown, events.OperationField("compare_and_swap"), events.ServiceField(document.Name))
		case errors.Is(err, store.ErrUnavailable) && uncertain:
		default:
			return 0, err
		}
		if err := s.pause(ctx); err != nil {
			return 0, errors.Wrap(store.ErrUnknownOutcome, err.Error())
		}
	}
	return s.readBack(ctx, document)
}

// settleConflict tells this node's own write, whose answer was lost, from the write of another operator.
func settleConflict(conflict *store.ConflictError, wanted *declaration.Document, uncertain bool) (int64, error) {
	failure := &conflictError{service: wanted.Name, uncertain: uncertain}
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
	failure.current = conflict.Current.Revision
	failure.differences = statement.Diff(&current.Service, &wanted.Service)
	return 0, failure
}

// readBack settles a write that was never answered by the change ID that the store holds.
func (s *Server) readBack(ctx context.Context, document *declaration.Document) (int64, error) {
	current, err := s.fleet.ReadService(ctx, document.Name)
	if err == nil && current.Document.ChangeID == document.ChangeID {
		return current.Revision, nil
	}
	return 0, errors.Wrapf(store.ErrUnknownOutcome, "service %s, change %s: apply it again to settle it", document.Name, document.ChangeID)
}

// repeat calls a function whose repetition has no further effect until its answer is not lost. uncertain is true in
// the last error's place if an earlier call may have taken effect.
func (s *Server) repeat(ctx context.Context, call func() error) (uncertain bool, err error) {
	for try := 0; try < maxWriteTries; try++ {
		err = call()
		lost := errors.Is(err, store.ErrUnknownOutcome)
		if !lost && !(uncertain && errors.Is(err, store.ErrUnavailable)) {
			return uncertain, err
		}
		uncertain = true
		if pauseErr := s.pause(ctx); pauseErr != nil {
			return uncertain, errors.Wrap(store.ErrUnknownOutcome, pauseErr.Error())
		}
	}
	return uncertain, err
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
