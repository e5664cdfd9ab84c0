package relay

import (
	"io"

	"github.com/pkg/errors"
)

// streamError returns nil for the regular end of a stream.
func streamError(err error) error {
	if err == io.EOF {
		return nil
	}
	return errors.Wrap(err, "relay stream")
}
