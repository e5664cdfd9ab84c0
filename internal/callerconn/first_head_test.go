package callerconn

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a head that is read differently when it arrives in pieces, and against memory for requests that need none.
func TestFirstHeadInPieces(t *testing.T) {
	const rest = "\r\nHost: h\r\n\r\nTransfer-Encoding: x\r\n\r\nPOST /b HTTP/1.0\r\n\r\n"
	for head, known := range map[string]bool{
		"POST /a HTTP/1.0" + rest:                                     true,
		"POST /a HTTP/1.0\nHost: h\n\nTransfer-Encoding: x\n":         true,
		"POST /a HTTP/1.0\r\nX: 1\r\n Transfer-Encoding: x\r\n\r\n":   true,
		"POST /a HTTP/1.0\r\nX-Transfer-Encoding: x\r\n\r\n":          true,
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked" + rest:       false,
		"POST /a HTTP/1.0\nX: 1\ntRANSFER-encoding:\n\n":              false,
		"POST /a HTTP/1.0\r\nTransfer-Encoding:" + rest:               false,
		"POST /a HTTP/1.1" + rest:                                     false,
		"POST /b HTTP/1.0" + rest:                                     false,
		"OPTIONS * HTTP/1.0\r\n\r\nPOST /a HTTP/1.0\r\nHost: h\r\n\r": false,
	} {
		for size := 1; size <= len(head); size++ {
			c := New(nil, nil)
			for left := head; left != ""; {
				piece := left[:min(size, len(left))]
				left = left[len(piece):]
				c.first.read([]byte(piece))
			}
			r := &http.Request{Method: "POST", RequestURI: "/a", Proto: "HTTP/1.0", ProtoMajor: 1}
			if c.KnowsEnd(r) != known {
				t.Fatalf("%q in pieces of %d: end known %v, want %v", head, size, !known, known)
			}
			if isNew := strings.Contains(head[:20], "HTTP/1.1"); isNew && (c.first.line != nil || !c.first.done) {
				t.Errorf("%q: kept %q", head, c.first.line)
			}
		}
	}
}

// Guards against work for each read behind the first head.
func BenchmarkFirstHeadDone(b *testing.B) {
	var h firstHead
	piece := []byte("GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4000) + "\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		h.read(piece)
	}
}
