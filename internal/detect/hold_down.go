package detect

import "time"

const (
	// holdLimit is the greatest hold-down. It bounds the time for which a repaired target stays out.
	holdLimit = 5 * time.Minute
	// decayFactor is the time in work, in multiples of the last hold-down, after which the hold-down halves.
	decayFactor = 4
)

// holdDown is the time for which a suspected target gets no trial. It doubles with each suspicion and halves with time
// in work.
type holdDown struct {
	base  time.Duration
	level int
	until time.Duration
	// returned is the time of the last return, moved ahead by each decay.
	returned time.Duration
}

// length returns the hold-down of the present level.
func (h *holdDown) length() time.Duration {
	length := h.base
	for range h.level - 1 {
		length *= 2
		if length >= holdLimit {
			return holdLimit
		}
	}
	return length
}

// begin starts the next hold-down.
func (h *holdDown) begin(now time.Duration) {
	if h.length() < holdLimit {
		h.level++
	}
	h.until = now + h.length()
}

// decay takes back levels for time in work.
func (h *holdDown) decay(now time.Duration) {
	for h.level > 0 {
		step := decayFactor * h.length()
		if now-h.returned < step {
			return
		}
		h.returned += step
		h.level--
	}
}
