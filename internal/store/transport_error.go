package store

import (
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// callError is a failed call: kind is ErrUnavailable, ErrUnknownOutcome or ErrLeaseLapsed, cause the transport's error.
type callError struct {
	kind  error
	cause error
}

// Error implements the error interface.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is find both the kind and the cause, such as context.DeadlineExceeded.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// readError maps the error of a call that changes nothing.
func readError(err error) error {
	if refusedForContent(err) {
		return errors.Wrap(err, "store")
	}
	return &callError{kind: ErrUnavailable, cause: err}
}

// writeError maps the error of a call that may change the store.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case refusedForContent(err):
		return errors.Wrap(err, "store")
	case answeredWith(err, connect.CodeFailedPrecondition):
		return &callError{kind: ErrLeaseLapsed, cause: err}
	case surelyNotTaken(err):
		return &callError{kind: ErrUnavailable, cause: err}
	default:
		return &callError{kind: ErrUnknownOutcome, cause: err}
	}
}

// surelyNotTaken reports whether the call did not reach the store, or was refused by its rate limit. A store that
// answers "unavailable" may have failed in the middle of a write, so that answer does not count.
func surelyNotTaken(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return answeredWith(err, connect.CodeResourceExhausted)
}

// refusedForContent reports whether the store answered that the call itself is invalid, so that no retry helps.
func refusedForContent(err error) bool { return answeredWith(err, connect.CodeInvalidArgument) }

// answeredWith reports whether the store itself sent the code; connect also gives codes to local transport errors.
func answeredWith(err error, code connect.Code) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == code
}
