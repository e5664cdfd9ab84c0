package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a target that ends the daemon with a status that the HTTP server of the callers does not accept.
func TestInvalidStatusDoesNotEndTheDaemon(t *testing.T) {
	for _, body := range []string{strings.Repeat("x", 2*idempotentBufferBytes), "x"} {
		a, address := startAcceptor(t)
		service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}
		addTarget(t, a, service, answerOnce(t, "HTTP/1.1 099 X\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(body)+"0\r\n\r\n"))
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get(headerReason) != string(verdict.AnswerIncomplete) {
			t.Errorf("status %d, reason %q; want an incomplete answer", res.StatusCode, res.Header.Get(headerReason))
		}
	}
}

// chunk returns the bytes as one chunk of a chunked body.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }
