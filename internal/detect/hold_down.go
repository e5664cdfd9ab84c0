package detect

import "time"

const (
	// maxHoldDown limits the time for which a repaired target remains suspected.
	maxHoldDown = 5 * time.Minute
	// decayFactor is the time in the Healthy phase, in multiples of the current hold-down, after which the hold-down
	// halves.
	decayFactor = 4
)

// holdDown is the time for which a suspected target receives no trial requests. It doubles each time the target is
// suspected or fails its trial, and halves with time in the Healthy phase.
type holdDown struct {
	base  time.Duration
	level int
	until time.Duration
	// returned is the time of the last return to the Healthy phase, advanced by each decay step.
	returned time.Duration
}

// length returns the hold-down of the current level.
func (h *holdDown) length() time.Duration {
	length := h.base
	for range h.level - 1 {
		length *= 2
		if length >= maxHoldDown {
			return maxHoldDown
		}
	}
	return length
}

// begin starts the next hold-down.
func (h *holdDown) begin(now time.Duration) {
	if h.length() < maxHoldDown {
		h.level++
	}
	h.until = now + h.length()
}

// decay lowers the level according to the time in the Healthy phase.
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
