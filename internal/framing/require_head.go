package framing

import (
	"net/http"

	"github.com/pkg/errors"
)

// RequireHead returns a transport that refuses answers with a status outside 100 to 599 or with a field name that is no token of
// RFC 9110. A name such as "Content-Length " shows that the rest of the head may not mean what net/http reads in it.
func RequireHead(next http.RoundTripper) http.RoundTripper {
	return &checkedTransport{next: next, check: checkHead}
}

const (
	minStatus = 100
	maxStatus = 599
)

func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Errorf("framing: status %03d is not valid", response.StatusCode)
	}
	for name := range response.Header {
		if !IsToken(name) {
			return errors.Errorf("framing: field name %q is not valid", name)
		}
	}
	return nil
}
