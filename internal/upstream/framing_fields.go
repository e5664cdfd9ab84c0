package upstream

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	zeroLength       = []byte("0")
)

// framingFields holds the fields of a head that say where its body ends, as the upstream wrote them. http.Transport removes some of
// them.
type framingFields struct {
	lengths int
	// nonzero means that the last length is not 0.
	nonzero   bool
	encodings int
}

// add records a field if it says where the body ends, and reports whether it does.
func (f *framingFields) add(name, value []byte) bool {
	switch {
	case bytes.EqualFold(name, contentLength):
		f.lengths++
		f.nonzero = !bytes.Equal(bytes.Trim(value, " \t"), zeroLength)
	case bytes.EqualFold(name, transferEncoding):
		f.encodings++
	default:
		return false
	}
	return true
}

// check returns an error if the fields contradict each other, or the status and the version of the head (RFC 9112, section 6).
// http.Transport checks their values.
func (f *framingFields) check(status int, http10 bool) error {
	bodiless := status < http.StatusOK || status == http.StatusNoContent
	switch {
	case f.lengths > 1:
		return errors.New("upstream: the answer has more than one length")
	case f.lengths > 0 && f.encodings > 0:
		return errors.New("upstream: the answer has both a length and a transfer encoding")
	case f.encodings > 0 && http10:
		return errors.New("upstream: the answer has a transfer encoding, which HTTP/1.0 lacks")
	case bodiless && (f.encodings > 0 || f.nonzero):
		return errors.Errorf("upstream: the answer has a body, which status %d does not allow", status)
	}
	return nil
}
