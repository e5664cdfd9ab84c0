package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Guards against an answer that is cut in its head, or in its body, and is taken for a whole one with an empty or short body.
func TestAnswerThatIsCutIsNotWhole(t *testing.T) {
	const signature = "Signed: yes\r\n"
	framed := map[string]string{
		"length":          "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 12\r\n\r\n" + "twelve bytes",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + signature + "\r\n" + "twelve bytes",
		"chunks":          "HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n",
		"chunks, trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + signature + "\r\nc\r\ntwelve bytes\r\n0\r\nA: b\r\n\r\n",
	}
	for name, answer := range framed {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) {
				checkCutAnswer(t, answer[:cut], false)
				checkCutAnswer(t, answer[:cut], true)
			}
		})
	}
	t.Run("until close", func(t *testing.T) {
		const head = "HTTP/1.1 200 OK\r\n" + signature + "A: b\r\n\r\n"
		for cut := range len(head) {
			checkCutAnswer(t, head[:cut], true)
		}
	})
}

// checkCutAnswer sends a request to an upstream that writes the answer and closes the connection.
func checkCutAnswer(t *testing.T, answer string, closeDelimited bool) {
	t.Helper()
	address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
		_, _ = c.Write([]byte(answer))
		return false
	})
	names := withoutEcho()
	names.SignatureHeader, names.CloseDelimitedBodies = "Signed", closeDelimited
	for _, idempotent := range []bool{true, false} {
		client := NewClient(1<<20, names)
		ctx, cancel := context.WithTimeout(t.Context(), testLimit)
		sink := new(statusSink)
		r := client.Run(ctx, address, &peerv1.ForwardHead{Method: http.MethodPost, Uri: "/", Idempotent: idempotent}, nil, sink)
		if r.Outcome == Answered || r.Outcome == Shed {
			t.Errorf("cut after %d bytes (idempotent %v): outcome %s", len(answer), idempotent, r.Outcome)
		}
		if !strings.Contains(answer, "\r\n\r\n") && sink.status != 0 {
			t.Errorf("cut in the head after %d bytes: status %d is forwarded", len(answer), sink.status)
		}
		cancel()
		client.Close()
	}
}
