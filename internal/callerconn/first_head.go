package callerconn

import (
	"bytes"
	"net/http"
	"strings"
)

// KnowsEnd reports whether it is known where the request, which was read from the connection, ends. A field Transfer-Encoding leaves
// the end of a request of HTTP/1.0 open (RFC 9112, section 6.1), and net/http removes it before a handler sees the head. So the
// connection has to have seen the head itself, which it does for the first request only.
func (c *Conn) KnowsEnd(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first.requestLine == r.Method+" "+r.RequestURI+" "+r.Proto && !c.first.transferEncoding
}

// firstHead reads along the head of the first request on a connection, as far as it tells how a request of HTTP/1.0 ends. It keeps no
// more than one line, and nothing of a request of a later version.
type firstHead struct {
	// requestLine is the first line, without its end, once it is complete; empty unless it is one of HTTP/1.0.
	requestLine string
	// transferEncoding means that the head has a field Transfer-Encoding.
	transferEncoding bool
	// line is the incomplete line that the bytes so far end with.
	line []byte
	// lines counts the complete lines.
	lines int
	// done means that nothing more needs to be read.
	done bool
}

const (
	versionWithoutChunks  = " HTTP/1.0"
	fieldTransferEncoding = "transfer-encoding:"
)

// read takes the next bytes of the connection.
func (h *firstHead) read(p []byte) {
	for !h.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.line = append(h.line, p...)
			return
		}
		line := p[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
		}
		h.readLine(string(bytes.TrimSuffix(line, []byte("\r"))))
		h.line, p = nil, p[end+1:]
	}
}

func (h *firstHead) readLine(line string) {
	h.lines++
	switch {
	case h.lines == 1 && strings.HasSuffix(line, versionWithoutChunks):
		h.requestLine = line
	case h.lines == 1, line == "":
		h.done = true
	case len(line) >= len(fieldTransferEncoding) && strings.EqualFold(line[:len(fieldTransferEncoding)], fieldTransferEncoding):
		h.transferEncoding, h.done = true, true
	}
}
