package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// properHead is an answer whose head is unusual but proper.
type properHead struct {
	answer string
	method string
	status int
	body   string
}

var longValue = strings.Repeat("x", 4*headLineBytes)

// tokenSymbols are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

var properHeads = map[string]properHead{
	"no reason":                      {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"empty reason":                   {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"long reason":                    {"HTTP/1.1 200 " + longValue + "\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"HTTP/1.0":                       {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"status 599":                     {"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 599, "ok"},
	"lines without CR":               {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", http.MethodGet, 200, "ok"},
	"lower case, blanks at a value":  {"HTTP/1.1 200 OK\r\ncontent-length: \t2 \t\r\n\r\nok", http.MethodGet, 200, "ok"},
	"no blank before a value":        {"HTTP/1.1 200 OK\r\nContent-Length:2\r\nA:b\r\n\r\nok", http.MethodGet, 200, "ok"},
	"all characters of a token":      {"HTTP/1.1 200 OK\r\n" + tokenSymbols + "aZ09: b\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"field on two lines":             {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"long value":                     {"HTTP/1.1 200 OK\r\nA: " + longValue + "\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"bytes above ASCII in a value":   {"HTTP/1.1 200 OK\r\nA: \xc3\xa4\xff\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"chunks in upper case":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.MethodGet, 200, "ok"},
	"204":                            {"HTTP/1.1 204 No Content\r\n\r\n", http.MethodGet, 204, ""},
	"204 with length 0":              {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", http.MethodGet, 204, ""},
	"304 with the length of the 200": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", http.MethodGet, 304, ""},
	"304 with chunks":                {"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", http.MethodGet, 304, ""},
	"HEAD with a length":             {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", http.MethodHead, 200, ""},
	"HEAD with chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", http.MethodHead, 200, ""},
	"HEAD without a length":          {"HTTP/1.1 200 OK\r\n\r\n", http.MethodHead, 200, ""},
	"informational heads": {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, 200, "ok"},
	"trailer":           {chunkedHead + "2\r\nok\r\n0\r\nA: b\r\n\r\n", http.MethodGet, 200, "ok"},
	"announced trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", http.MethodGet, 200, "ok"},
	"head in a body":    {"HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\nHTTP/1.1 999 X\r\nA B: c\r\n\r", http.MethodGet, 200, "HTTP/1.1 999 X\r\nA B: c\r\n\r"},
}

// Guards against refusing an answer whose head is unusual but proper, also if it comes in small pieces.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for name, proper := range properHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, piece := range []int{len(proper.answer), 1} {
				checkProperHead(t, proper, piece)
			}
		})
	}
}

// checkProperHead sends two requests that get the answer in pieces of the given length.
func checkProperHead(t *testing.T, proper properHead, piece int) {
	address, _ := rawServer(t, func(_ int32, c net.Conn) bool {
		for rest := proper.answer; rest != ""; rest = rest[min(piece, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
				return false
			}
		}
		return true
	})
	client := NewClient(1<<20, withoutEcho())
	defer client.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), testLimit)
		sink := new(bodySink)
		r := client.Run(ctx, address, &peerv1.ForwardHead{Method: proper.method, Uri: "/", Idempotent: true}, nil, sink)
		cancel()
		if r.Outcome != Answered || r.Status != proper.status || sink.String() != proper.body {
			t.Errorf("pieces of %d: outcome %s, status %d, body %q: %v", piece, r.Outcome, r.Status, sink.String(), r.Err)
		}
	}
}

// Guards against handing bytes behind an answer that has no body to the caller of the next request.
func TestBytesBehindAnAnswerWithoutBodyBelongToNoRequest(t *testing.T) {
	const behind = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]struct{ head, method string }{
		"204":               {"HTTP/1.1 204 No Content\r\n\r\n", http.MethodGet},
		"304":               {"HTTP/1.1 304 Not Modified\r\n\r\n", http.MethodGet},
		"304 with a length": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 46\r\n\r\n", http.MethodGet},
		"HEAD":              {"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n", http.MethodHead},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawServer(t, func(_ int32, conn net.Conn) bool {
				_, err := io.WriteString(conn, c.head+behind)
				return err == nil
			})
			client := NewClient(1<<20, withoutEcho())
			defer client.Close()
			for range 100 {
				r := client.Run(t.Context(), address, &peerv1.ForwardHead{Method: c.method, Uri: "/", Idempotent: true}, nil, new(discardSink))
				if r.Outcome == Answered && r.Status == http.StatusCreated {
					t.Fatal("the bytes behind an answer are that of the next request")
				}
			}
		})
	}
}
