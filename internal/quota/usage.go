package quota

import "time"

// PermitValidity is the time for which a permit is valid. What a node may still use after it has lost touch is bounded by it.
const PermitValidity = 400 * time.Millisecond

// usage counts the requests of an account at a node in the current and the previous span of PermitValidity.
type usage struct {
	span              time.Duration
	current, previous int
}

func (u *usage) add(now time.Duration) {
	u.advance(now)
	u.current++
}

// recent returns the requests of the previous span.
func (u *usage) recent(now time.Duration) int {
	u.advance(now)
	return u.previous
}

// isIdle reports whether there was no request in either span.
func (u *usage) isIdle(now time.Duration) bool {
	u.advance(now)
	return u.previous == 0 && u.current == 0
}

func (u *usage) advance(now time.Duration) {
	span := now / PermitValidity
	switch span {
	case u.span:
		return
	case u.span + 1:
		u.previous, u.current = u.current, 0
	default:
		u.previous, u.current = 0, 0
	}
	u.span = span
}
