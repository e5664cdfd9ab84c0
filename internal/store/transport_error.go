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

// readError maps the transport error of a call that changes nothing.
func readError(err error) error {
	if isInvalidArgument(err) {
		return errors.Wrap(err, "store")
	}
	return &callError{kind: ErrUnavailable, cause: err}
}

// writeError maps the transport error of a call that may change the store.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case isInvalidArgument(err):
		return errors.Wrap(err, "store")
	case hasWireCode(err, connect.CodeFailedPrecondition):
		return &callError{kind: ErrLeaseLapsed, cause: err}
	case wasNotExecuted(err):
		return &callError{kind: ErrUnavailable, cause: err}
	default:
		return &callError{kind: ErrUnknownOutcome, cause: err}
	}
}

// wasNotExecuted reports whether the call certainly did not reach the store, or was refused by its rate limit. A store
// that responds "unavailable" may have failed in the middle of a write, so that response is not included.
func wasNotExecuted(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return hasWireCode(err, connect.CodeResourceExhausted)
}

// isInvalidArgument reports whether the store rejected the call as invalid. A retry cannot succeed.
func isInvalidArgument(err error) bool { return hasWireCode(err, connect.CodeInvalidArgument) }

// hasWireCode reports whether the store sent the code. Connect also assigns codes to local transport errors, which do not
// count.
func hasWireCode(err error, code connect.Code) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == code
}
