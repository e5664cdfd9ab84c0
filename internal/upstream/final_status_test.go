package upstream

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// statusSink records the status of a response.
type statusSink struct {
	discardSink
	status int32
}

func (s *statusSink) Head(head *peerv1.AnswerHead) error {
	s.status = head.Status
	return nil
}

// Guards against forwarding a status that is not that of a final response. The HTTP server of the callers panics on it, or
// hands the connection over to another protocol.
func TestOnlyFinalStatusesAreAnswers(t *testing.T) {
	for _, line := range []string{
		"101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x", "101 Switching Protocols", "000 X", "001 X", "099 X", "+12 X",
	} {
		address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
			_, err := c.Write([]byte("HTTP/1.1 " + line + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)))
			return err == nil
		})
		for _, idempotent := range []bool{true, false} {
			client := NewClient(1<<20, withoutEcho())
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			sink := new(statusSink)
			r := client.Run(ctx, address, &peerv1.ForwardHead{Method: http.MethodPost, Uri: "/", Idempotent: idempotent}, nil, sink)
			if r.Outcome != Incomplete || sink.status != 0 {
				t.Errorf("%q: outcome %s, forwarded status %d; want %s", line, r.Outcome, sink.status, Incomplete)
			}
			cancel()
			client.Close()
		}
	}
}
