package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// notRunFields declare that the request did not run, and when to send it again.
const notRunFields = "Not-Run: 1\r\nRetry-After: 7\r\n"

// brokenHead is an answer whose head is no proper one. It has the fields of a refusal where %s stands.
type brokenHead struct {
	answer string
	// head means that the method is HEAD.
	head bool
	want Outcome
}

var brokenHeads = map[string]brokenHead{
	"status 000":                        {"HTTP/1.1 000 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"status 099":                        {"HTTP/1.1 099 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"status 600":                        {"HTTP/1.1 600 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"status 999":                        {"HTTP/1.1 999 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"status with plus":                  {"HTTP/1.1 +20 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"status with plus and three digits": {"HTTP/1.1 +200 X\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"status with minus":                 {"HTTP/1.1 -20 X\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"status minus zero":                 {"HTTP/1.1 -00 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"blank in the status":               {"HTTP/1.1 2 0 X\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"two blanks before the status":      {"HTTP/1.1  200 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"tab behind the status":             {"HTTP/1.1 200\tX\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"status of two digits":              {"HTTP/1.1 20 X\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"status of four digits":             {"HTTP/1.1 2000 X\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"other version":                     {"HTTP/2.0 200 X\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"blank behind Content-Length":       {"HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nok", false, Incomplete},
	"blank in Content-Length":           {"HTTP/1.1 200 OK\r\n%sContent Length: 2\r\n\r\nok", false, Incomplete},
	"blank behind Transfer-Encoding":    {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"blank behind a second length":      {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length : 9\r\n\r\nok", false, Incomplete},
	"blank in a name":                   {"HTTP/1.1 200 OK\r\n%sA B: c\r\nContent-Length: 2\r\n\r\nok", false, Incomplete},
	"blank behind a name":               {"HTTP/1.1 200 OK\r\n%sA : c\r\nContent-Length: 2\r\n\r\nok", false, Incomplete},
	"tab in a name":                     {"HTTP/1.1 200 OK\r\n%sA\tB: c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"control byte in a name":            {"HTTP/1.1 200 OK\r\n%sA\x01B: c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"zero byte in a name":               {"HTTP/1.1 200 OK\r\n%sA\x00: c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"control byte in a value":           {"HTTP/1.1 200 OK\r\n%sA: b\x01c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"byte above ASCII in a name":        {"HTTP/1.1 200 OK\r\n%s\xc3\xa4: c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"delimiter in a name":               {"HTTP/1.1 200 OK\r\n%sA(B): c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"empty name":                        {"HTTP/1.1 200 OK\r\n%s: c\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"line without a colon":              {"HTTP/1.1 200 OK\r\n%sA\r\nContent-Length: 2\r\n\r\nok", false, Lost},
	"blank before the first name":       {"HTTP/1.1 200 OK\r\n A: b\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"two lengths":                       {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, Lost},
	"one length twice":                  {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\ncontent-length: 2\r\n\r\nok", false, Incomplete},
	"list of lengths":                   {"HTTP/1.1 200 OK\r\n%sContent-Length: 2, 2\r\n\r\nok", false, Lost},
	"length with plus":                  {"HTTP/1.1 200 OK\r\n%sContent-Length: +2\r\n\r\nok", false, Lost},
	"negative length":                   {"HTTP/1.1 200 OK\r\n%sContent-Length: -2\r\n\r\nok", false, Lost},
	"length in hexadecimal":             {"HTTP/1.1 200 OK\r\n%sContent-Length: 0x2\r\n\r\nok", false, Lost},
	"empty length":                      {"HTTP/1.1 200 OK\r\n%sContent-Length:\r\n\r\nok", false, Lost},
	"length above 2^63":                 {"HTTP/1.1 200 OK\r\n%sContent-Length: 9223372036854775808\r\n\r\nok", false, Lost},
	"length on two lines":               {"HTTP/1.1 200 OK\r\n%sContent-Length:\r\n 2\r\n\r\nok", false, Incomplete},
	"length and chunks":                 {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"chunks and length":                 {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"chunked twice":                     {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Lost},
	"chunked on two lines":              {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding:\r\n chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"other transfer encoding":           {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: identity\r\n\r\nok", false, Lost},
	"chunks in HTTP/1.0":                {"HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"204 with a length":                 {"HTTP/1.1 204 No Content\r\n%sContent-Length: 2\r\n\r\n", false, Incomplete},
	"204 with a length and a body":      {"HTTP/1.1 204 No Content\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"204 with chunks":                   {"HTTP/1.1 204 No Content\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Incomplete},
	"204 with an odd length":            {"HTTP/1.1 204 No Content\r\n%sContent-Length: x\r\n\r\n", false, Lost},
	"304 with two lengths":              {"HTTP/1.1 304 Not Modified\r\n%sContent-Length: 2\r\nContent-Length: 3\r\n\r\n", false, Lost},
	"304 with one length twice":         {"HTTP/1.1 304 Not Modified\r\n%sContent-Length: 2\r\nContent-Length: 2\r\n\r\n", false, Incomplete},
	"304 with an odd length":            {"HTTP/1.1 304 Not Modified\r\n%sContent-Length: -1\r\n\r\n", false, Lost},
	"304 with a length and chunks":      {"HTTP/1.1 304 Not Modified\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false, Incomplete},
	"HEAD with two lengths":             {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length: 3\r\n\r\n", true, Lost},
	"HEAD with an odd length":           {"HTTP/1.1 200 OK\r\n%sContent-Length: x\r\n\r\n", true, Lost},
	"HEAD with a length and chunks":     {"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", true, Incomplete},
	"HEAD with a blank behind a length": {"HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\n", true, Incomplete},
	"102 with a blank in a name":        {"HTTP/1.1 102 Processing\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"100 with a blank behind a name":    {"HTTP/1.1 100 Continue\r\nContent-Length : 0\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"103 with a control byte in a name": {"HTTP/1.1 103 Early Hints\r\nA\x01: c\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Lost},
	"103 with a length":                 {"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"103 with chunks":                   {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"103 with two lengths":              {"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
	"odd status before the final one":   {"HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", false, Incomplete},
}

// countingSink counts the heads and the bytes of responses.
type countingSink struct {
	discardSink
	heads int
}

func (s *countingSink) Head(*peerv1.AnswerHead) error {
	s.heads++
	return nil
}

// Guards against an answer or a refusal that is read out of a head that is no proper one, and against using its connection again.
func TestBrokenHeadIsNeitherAnswerNorRefusal(t *testing.T) {
	for name, broken := range brokenHeads {
		for _, fields := range []string{"", notRunFields} {
			for _, idempotent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, refusal %v, idempotent %v", name, fields != "", idempotent), func(t *testing.T) {
					t.Parallel()
					checkBrokenHead(t, broken, fmt.Sprintf(broken.answer, fields), idempotent)
				})
			}
		}
	}
}

// checkBrokenHead sends a request that gets the answer, on a connection that was used before if the request is idempotent.
func checkBrokenHead(t *testing.T, broken brokenHead, answer string, idempotent bool) {
	address, connections := brokenServer(t, answer, idempotent)
	client := NewClient(1<<20, untilClose())
	defer client.Close()
	if idempotent {
		if r := run(t, client, address, true); r.Outcome != Answered {
			t.Fatalf("first request: %s %v", r.Outcome, r.Err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	method := http.MethodPost
	if broken.head {
		method = http.MethodHead
	}
	sink := new(countingSink)
	r := client.Run(ctx, address, &peerv1.ForwardHead{Method: method, Uri: "/", Idempotent: idempotent}, nil, sink)
	if r.Outcome != broken.want || r.Err == nil || sink.heads != 0 || sink.bytes != 0 {
		t.Errorf("outcome %s: %v, %d heads and %d bytes forwarded; want %s", r.Outcome, r.Err, sink.heads, sink.bytes, broken.want)
	}
	if !r.Received || r.RetryAfter != 0 || r.Reused != idempotent {
		t.Errorf("received %v, retry after %s, reused %v", r.Received, r.RetryAfter, r.Reused)
	}
	before := connections.Load()
	if next := run(t, client, address, true); next.Reused || connections.Load() != before+1 {
		t.Error("the connection of the broken head was used again")
	}
}

// brokenServer answers with the given bytes: the second request of each connection if the first one is to be answered properly,
// else the first one. It leaves connections open and counts them.
func brokenServer(t *testing.T, answer string, second bool) (string, *atomic.Int32) {
	return connServer(t, func(n int, c net.Conn) bool {
		reply := answer
		if second && n == 1 {
			reply = okAnswer
		}
		_, err := io.WriteString(c, reply)
		return err == nil
	})
}

// Guards against believing a refusal of which another line of the head says the opposite.
func TestContradictedRefusalIsNoRefusal(t *testing.T) {
	for _, fields := range []string{"Not-Run: 1\r\nNot-Run: 0\r\n", "Not-Run: 0\r\nNot-Run: 1\r\n", "Not-Run: 1\r\nnot-run:\r\n", "Not-Run: 1, 0\r\n"} {
		address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\n%sContent-Length: 0\r\n\r\n", fields)
			return false
		})
		client := NewClient(1<<20, untilClose())
		if r := run(t, client, address, false); r.Outcome == Shed {
			t.Errorf("%q: outcome %s", fields, r.Outcome)
		}
		client.Close()
	}
}

// Guards against taking an answer for that of the request because the first of several IDs in its head is that of the request.
func TestAnswerWithTwoIDsBelongsToNoRequest(t *testing.T) {
	for _, ids := range []string{"Request-Id: mine\r\nRequest-Id: other\r\n", "Request-Id: other\r\nRequest-Id: mine\r\n", "Request-Id: mine\r\nrequest-id:\r\n"} {
		for _, answer := range []string{"200 OK\r\n", "503 Busy\r\nNot-Run: 1\r\n"} {
			address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
				fmt.Fprintf(c, "HTTP/1.1 %s%sContent-Length: 0\r\n\r\n", answer, ids)
				return false
			})
			client := NewClient(1<<20, echoDialect())
			if r := runWithID(t, client, address, "mine"); r.Outcome != Lost {
				t.Errorf("%q: outcome %s, want %s", ids, r.Outcome, Lost)
			}
			client.Close()
		}
	}
}
