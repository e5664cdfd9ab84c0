package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answer listens on a loopback address until the end of the test. It reads each HTTP request whole, answers it with the same bytes
// and closes the connection.
func Answer(t testing.TB, answer string) (address string) {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		if ReadRequest(c) == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
}

// ReadRequest reads one HTTP request with its body. Closing a connection with unread bytes would reset it.
func ReadRequest(c net.Conn) error {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}
