package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
)

// endlessAnswer is an answer that starts with start and continues with piece until the connection is closed.
type endlessAnswer struct {
	start, piece string
	// pause is the time between two pieces.
	pause time.Duration
	// outcomes are the accepted ones. An answer that may not time out must end because of a bound on its size, long before
	// the deadline.
	outcomes []Outcome
}

var endlessAnswers = map[string]endlessAnswer{
	"no answer":                 {piece: strings.Repeat("x", 1024), outcomes: []Outcome{Lost}},
	"zero bytes":                {piece: strings.Repeat("\x00", 1024), outcomes: []Outcome{Lost}},
	"empty lines":               {piece: "\r\n", outcomes: []Outcome{Lost}},
	"status line":               {start: "HTTP/1.1 200 ", piece: strings.Repeat("x", 1024), outcomes: []Outcome{Lost}},
	"header value":              {start: "HTTP/1.1 200 OK\r\nA: ", piece: strings.Repeat("x", 1024), outcomes: []Outcome{Lost}},
	"header lines":              {start: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n", outcomes: []Outcome{Lost}},
	"continued header":          {start: "HTTP/1.1 200 OK\r\nA: b\r\n", piece: " b\r\n", outcomes: []Outcome{Lost}},
	"informational heads":       {piece: "HTTP/1.1 100 Continue\r\n\r\n", outcomes: []Outcome{Lost}},
	"early hints":               {piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", outcomes: []Outcome{Lost}},
	"slow head":                 {start: "HTTP/1.1 200 OK\r\nA: ", piece: "x", pause: time.Millisecond, outcomes: []Outcome{TimedOut}},
	"slow informational heads":  {piece: "HTTP/1.1 102 Processing\r\n\r\n", pause: time.Millisecond, outcomes: []Outcome{TimedOut}},
	"chunks":                    {start: chunkedHead, piece: "400\r\n" + strings.Repeat("x", 1024) + "\r\n", outcomes: []Outcome{TimedOut}},
	"small chunks":              {start: chunkedHead, piece: "1\r\nx\r\n", outcomes: []Outcome{TimedOut, Incomplete}},
	"slow chunks":               {start: chunkedHead, piece: "1\r\nx\r\n", pause: time.Millisecond, outcomes: []Outcome{TimedOut}},
	"chunk size":                {start: chunkedHead, piece: "0", outcomes: []Outcome{Incomplete}},
	"chunk extension":           {start: chunkedHead + "1;", piece: "x", outcomes: []Outcome{Incomplete}},
	"extensions of many chunks": {start: chunkedHead, piece: "1;" + strings.Repeat("x", 256) + "\r\nx\r\n", outcomes: []Outcome{Incomplete}},
	"trailer":                   {start: chunkedHead + "0\r\n", piece: "A: b\r\n", outcomes: []Outcome{Incomplete}},
	"trailer line":              {start: chunkedHead + "0\r\nA: ", piece: "b", outcomes: []Outcome{Incomplete}},
	"length of petabytes":       {start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", piece: strings.Repeat("x", 1024), outcomes: []Outcome{TimedOut}},
	"behind the length":         {start: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", piece: strings.Repeat("x", 1024), outcomes: []Outcome{Answered}},
	"behind an empty body":      {start: "HTTP/1.1 204 No Content\r\n\r\n", piece: strings.Repeat("x", 1024), outcomes: []Outcome{Answered}},
	"body of a refusal":         {start: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", outcomes: []Outcome{Shed}},
	"until close":               {start: "HTTP/1.1 200 OK\r\n\r\n", piece: strings.Repeat("x", 1024), outcomes: []Outcome{TimedOut}},
	"other protocol":            {start: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", piece: strings.Repeat("x", 1024), outcomes: []Outcome{Incomplete}},
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// serveEndlessly serves the answer and counts the connections on which it is being written.
func serveEndlessly(t *testing.T, answer endlessAnswer) (string, *atomic.Int32) {
	writing := new(atomic.Int32)
	address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
		writing.Add(1)
		defer writing.Add(-1)
		_, err := io.WriteString(c, answer.start)
		for err == nil {
			_, err = io.WriteString(c, answer.piece)
			time.Sleep(answer.pause)
		}
		return false
	})
	return address, writing
}

// endlessTimeout is the deadline of a request whose answer has no end.
const endlessTimeout = 300 * time.Millisecond

// testLimit ends a test that hangs.
const testLimit = 30 * time.Second

// Guards against an answer without an end that occupies the connection, the slot or the memory of the node beyond the
// deadline of the request, or that counts as an answer.
func TestEndlessAnswers(t *testing.T) {
	names := dialect.Upstream{NotRunHeader: "Not-Run", CloseDelimitedBodies: true}
	for name, answer := range endlessAnswers {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				t.Parallel()
				address, writing := serveEndlessly(t, answer)
				client := NewClient(64<<10, names)
				defer client.Close()
				timeout := testLimit
				if slices.Contains(answer.outcomes, TimedOut) {
					timeout = endlessTimeout
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				head := &peerv1.ForwardHead{Method: http.MethodPost, Uri: "/", Idempotent: idempotent}
				r := client.Run(ctx, address, head, nil, new(discardSink))
				if !slices.Contains(answer.outcomes, r.Outcome) {
					t.Errorf("outcome %s: %v; want %v", r.Outcome, r.Err, answer.outcomes)
				}
				for end := time.Now().Add(testLimit); writing.Load() != 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the connection is still open")
					}
				}
			})
		}
	}
}
