package node

import (
	"net/http"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against telling a caller "not run", or an answer, because of a head of an upstream that is no proper one.
func TestBrokenHeadOfAnUpstreamMayHaveRun(t *testing.T) {
	const claim = "Sardinereach-Not-Run: 1\r\nRetry-After: 7\r\n"
	for name, answer := range map[string]string{
		"status 000":                     "HTTP/1.1 000 X\r\n" + claim + "Content-Length: 2\r\n\r\nok",
		"status 600":                     "HTTP/1.1 600 X\r\n" + claim + "Content-Length: 2\r\n\r\nok",
		"status 999 without a claim":     "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok",
		"sign in the status":             "HTTP/1.1 +20 X\r\n" + claim + "Content-Length: 2\r\n\r\nok",
		"blank behind a length":          "HTTP/1.1 503 X\r\n" + claim + "Content-Length : 2\r\n\r\nok",
		"blank in a name":                "HTTP/1.1 503 X\r\n" + claim + "A B: c\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name, without claim": "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":         "HTTP/1.1 503 X\r\n" + claim + "A\x01: c\r\nContent-Length: 2\r\n\r\nok",
		"length and chunks":              "HTTP/1.1 503 X\r\n" + claim + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two lengths":                    "HTTP/1.1 503 X\r\n" + claim + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"204 with a length":              "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
		"blank in a 1xx head":            "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\nHTTP/1.1 503 X\r\n" + claim + "Content-Length: 0\r\n\r\n",
		"blank in a trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
		"contradicted claim":             "HTTP/1.1 503 X\r\n" + claim + "Sardinereach-Not-Run: 0\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
	} {
		a, address := startAcceptor(t)
		service := &declaration.Service{Name: "s", Routes: []declaration.Route{{Path: "/s"}}}
		addTarget(t, a, service, answerOnce(t, answer))
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		reason := verdict.Reason(res.Header.Get(headerReason))
		if res.StatusCode != http.StatusGatewayTimeout || res.Header.Get(headerVerdict) != verdict.MayHaveRun.String() ||
			reason != verdict.AnswerIncomplete && reason != verdict.UpstreamLost {
			t.Errorf("%s: status %d, verdict %q, reason %q", name, res.StatusCode, res.Header.Get(headerVerdict), reason)
		}
	}
}
