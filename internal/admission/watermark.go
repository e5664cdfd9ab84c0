package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// watermarkFor is the time for which the watermark of a silent accepting node is kept.
const watermarkFor = 24 * time.Hour

// watermark says that records of an accepting node up to a serial were dropped. Attempt IDs of a node grow by
// incarnation and serial, so it stands for all dropped records at once: an attempt at or below it without a record may
// have been admitted, refused or fenced.
type watermark struct {
	incarnation uint64
	serial      uint64
	raised      time.Duration
}

// watermarks holds one watermark per accepting node.
type watermarks map[string]watermark

// raise remembers that the record of the attempt was dropped.
func (w watermarks) raise(now time.Duration, attempt model.AttemptID) {
	node, incarnation, serial, ok := splitAttempt(attempt)
	if !ok {
		return
	}
	mark, known := w[node]
	if !known {
		node = strings.Clone(node)
	}
	mark.raised = now
	switch {
	case incarnation > mark.incarnation:
		mark.incarnation = incarnation
		mark.serial = serial
	case incarnation == mark.incarnation:
		mark.serial = max(mark.serial, serial)
	}
	w[node] = mark
}

// covers reports whether the record of the attempt may have been dropped.
func (w watermarks) covers(attempt model.AttemptID) bool {
	node, incarnation, serial, ok := splitAttempt(attempt)
	if !ok {
		return false
	}
	mark, known := w[node]
	if !known || incarnation > mark.incarnation {
		return false
	}
	return incarnation < mark.incarnation || serial <= mark.serial
}

// sweep drops the watermarks of nodes that were silent for watermarkFor.
func (w watermarks) sweep(now time.Duration) {
	for node, mark := range w {
		if now-mark.raised > watermarkFor {
			delete(w, node)
		}
	}
}

// splitAttempt undoes model.NewAttemptID. It returns false for an ID of another form.
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
