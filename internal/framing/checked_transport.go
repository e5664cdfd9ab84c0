package framing

import "net/http"

// checkedTransport returns the answers of next that pass the check, and the error of the check for the others.
type checkedTransport struct {
	next  http.RoundTripper
	check func(*http.Response) error
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := t.check(response); err != nil {
		// Closing an unread body closes the connection. An error of it changes nothing.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes those of the transport, for http.Client.
func (t *checkedTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
