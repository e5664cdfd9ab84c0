package framing

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrNoEnd means that an answer has neither a length nor chunks.
var ErrNoEnd = errors.New("framing: only the close of the connection ends the answer")

// RequireEnd returns a transport that refuses answers whose body runs to the end of the connection, with ErrNoEnd. The end of a
// connection that broke looks the same to a read if a write has received the error. Clients whose messages don't show their own
// end, such as protobuf, need this.
func RequireEnd(next http.RoundTripper) http.RoundTripper {
	return &checkedTransport{next: next, check: checkEnd}
}

func checkEnd(response *http.Response) error {
	// HTTP/2 has a frame for the end, and a compressed body a checksum.
	showsEnd := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.ProtoMajor > 1 || response.Uncompressed
	if !showsEnd {
		return ErrNoEnd
	}
	return nil
}
