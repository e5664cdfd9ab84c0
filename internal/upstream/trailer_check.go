package upstream

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/framing"
)

// checkTrailers returns an error if a trailer has a name that is no token, or says where the body ends.
func checkTrailers(trailers http.Header) error {
	for name, values := range trailers {
		if len(values) == 0 {
			// It was announced but not sent.
			continue
		}
		if !framing.IsToken(name) {
			return errors.Errorf("upstream: %q is no name of a trailer", name)
		}
		if new(framingFields).add([]byte(name), nil) {
			return errors.Errorf("upstream: the trailer %s says where the body ends", name)
		}
	}
	return nil
}
