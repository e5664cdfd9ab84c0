package relay

import (
	"io"

	"github.com/pkg/errors"
)

// streamError wraps a read error. It returns nil for io.EOF, the regular end of a stream.
func streamError(err error) error {
	if err == io.EOF {
		return nil
	}
	return errors.Wrap(err, "relay stream")
}
