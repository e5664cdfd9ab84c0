package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// watermarkTTL is the time for which a watermark is kept after it was last raised.
const watermarkTTL = 24 * time.Hour

// watermark is the highest attempt of an accepting node whose record was removed. Attempt IDs of a node increase by
// incarnation and serial, so one watermark covers all removed records: an attempt at or below it without a record may
// have been admitted, refused or fenced.
type watermark struct {
	incarnation uint64
	serial      uint64
	raisedAt    time.Duration
}

// watermarks holds one watermark per accepting node.
type watermarks map[string]watermark

// raise updates the watermark for an attempt whose record was removed.
func (w watermarks) raise(now time.Duration, attempt model.AttemptID) {
	node, incarnation, serial, ok := splitAttempt(attempt)
	if !ok {
		return
	}
	mark, found := w[node]
	if !found {
		node = strings.Clone(node)
	}
	mark.raisedAt = now
	switch {
	case incarnation > mark.incarnation:
		mark.incarnation = incarnation
		mark.serial = serial
	case incarnation == mark.incarnation:
		mark.serial = max(mark.serial, serial)
	}
	w[node] = mark
}

// covers reports whether the record of the attempt may have been removed.
func (w watermarks) covers(attempt model.AttemptID) bool {
	node, incarnation, serial, ok := splitAttempt(attempt)
	if !ok {
		return false
	}
	mark, found := w[node]
	if !found || incarnation > mark.incarnation {
		return false
	}
	return incarnation < mark.incarnation || serial <= mark.serial
}

// sweep removes the watermarks that were last raised more than watermarkTTL ago.
func (w watermarks) sweep(now time.Duration) {
	for node, mark := range w {
		if now-mark.raisedAt > watermarkTTL {
			delete(w, node)
		}
	}
}

// splitAttempt parses an ID made by model.NewAttemptID. It returns false for an ID of another form.
func splitAttempt(attempt model.AttemptID) (node string, incarnation, serial uint64, ok bool) {
	text := string(attempt)
	last := strings.LastIndexByte(text, '.')
	if last < 0 {
		return "", 0, 0, false
	}
	middle := strings.LastIndexByte(text[:last], '.')
	if middle < 0 {
		return "", 0, 0, false
	}
	incarnation, err := strconv.ParseUint(text[middle+1:last], 16, 64)
	if err != nil {
		return "", 0, 0, false
	}
	serial, err = strconv.ParseUint(text[last+1:], 16, 64)
	if err != nil {
		return "", 0, 0, false
	}
	return text[:middle], incarnation, serial, true
}
