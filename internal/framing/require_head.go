package framing

import (
	"net/http"
	"strings"

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
		if !isToken(name) {
			return errors.Errorf("framing: field name %q is not valid", name)
		}
	}
	return nil
}

// tokenSymbols are the characters of a token beside letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte(tokenSymbols, c) >= 0
}
