package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/framing"
)

const (
	// headLineBytes is the part of a line that is checked: a status line up to the status, or a field with its name.
	headLineBytes = 512
	// versionBytes, statusStart and statusEnd are offsets in a status line, such as "HTTP/1.1 200 OK".
	versionBytes = len("HTTP/1.1")
	statusStart  = versionBytes + len(" ")
	statusEnd    = statusStart + len("200")
	// maxStatus is the largest status (RFC 9110, section 15).
	maxStatus = 599
)

// headCheck checks the heads of an answer, those of informational responses included, in the bytes that are read from the
// connection. http.Transport accepts heads whose end of the body other readers understand in another way, and removes what shows it.
type headCheck struct {
	mu     sync.Mutex
	line   []byte
	http10 bool
	// status is that of the head that is being read, 0 before its status line.
	status  int
	framing framingFields
	// framed means that the last field says where the body ends.
	framed bool
	// ended means that the final head has been read, or that a fault was found.
	ended bool
	err   error
}

// reset prepares the check for the answer to the next request.
func (h *headCheck) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err, h.ended = nil, false
	h.line = h.line[:0]
	h.startHead()
}

// fault returns an error unless a proper final head has been read.
func (h *headCheck) fault() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		return errors.New("upstream: the head of the answer has no end")
	}
	return h.err
}

// isComplete reports whether the final head has been read.
func (h *headCheck) isComplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// read checks bytes that were received. Those behind the final head are ignored.
func (h *headCheck) read(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(p) > 0 && !h.ended {
		part, rest, complete := bytes.Cut(p, []byte("\n"))
		h.keep(part)
		if complete {
			h.endLine()
		}
		p = rest
	}
}

// keep adds a part of the present line, up to headLineBytes.
func (h *headCheck) keep(part []byte) {
	free := headLineBytes - len(h.line)
	h.line = append(h.line, part[:min(free, len(part))]...)
}

func (h *headCheck) endLine() {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	// The array is not written to before the next line.
	h.line = h.line[:0]
	switch {
	case h.status == 0:
		h.fail(h.statusLine(line))
	case len(line) == 0:
		h.endHead()
	default:
		h.fail(h.field(line))
	}
}

// fail ends the check if err is not nil.
func (h *headCheck) fail(err error) {
	if err != nil {
		h.err, h.ended = err, true
	}
}

// statusLine reads a status line. RFC 9112, section 4 has one blank between the version and the status, which has three digits.
func (h *headCheck) statusLine(line []byte) error {
	head := line[:min(statusEnd, len(line))]
	followed := len(line) > statusEnd && line[statusEnd] != ' '
	if len(head) < statusEnd || !isVersion(head[:versionBytes]) || head[versionBytes] != ' ' || followed {
		return errors.Errorf("upstream: malformed status line %q", head)
	}
	status, err := strconv.ParseUint(string(head[statusStart:]), 10, 16)
	if err != nil || status < http.StatusContinue || status > maxStatus {
		return errors.Errorf("upstream: %q is no status", head[statusStart:])
	}
	h.status, h.http10 = int(status), head[versionBytes-1] == '0'
	return nil
}

// isVersion reports whether the text is a version of HTTP/1.
func isVersion(text []byte) bool {
	digit, ok := bytes.CutPrefix(text, []byte("HTTP/1."))
	return ok && len(digit) == 1 && '0' <= digit[0] && digit[0] <= '9'
}

// field reads a field, or the continuation of one.
func (h *headCheck) field(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		if h.framed {
			return errors.New("upstream: a field that says where the body ends is continued on a second line")
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !framing.IsToken(name) {
		return errors.Errorf("upstream: %q is no name of a field", name)
	}
	h.framed = h.framing.add(name, value)
	return nil
}

// endHead ends a head. The head of an informational response is followed by another one.
func (h *headCheck) endHead() {
	h.fail(h.framing.check(h.status, h.http10))
	if h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols {
		h.startHead()
		return
	}
	h.ended = true
}

func (h *headCheck) startHead() {
	h.status, h.http10, h.framing, h.framed = 0, false, framingFields{}, false
}
