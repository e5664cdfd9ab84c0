package membership

import "time"

// Timing holds the limits of failure detection by heartbeat age.
type Timing struct {
	// Suspect is the age of a heartbeat from which its member is suspected.
	Suspect time.Duration
	// Dead is the age from which the member counts as dead.
	Dead time.Duration
	// Forget is the age from which a dead member is dropped, while another member of its domain lives.
	Forget time.Duration
	// ForgetDomain is the age from which the dead members of a domain without a live member are dropped.
	ForgetDomain time.Duration
	// Remember is how long the last heartbeat of a dropped member is kept, so that peers that still hold the member
	// cannot bring it back.
	Remember time.Duration
}

// DefaultTiming returns the limits for a fleet whose heartbeats grow once a second.
func DefaultTiming() Timing {
	return Timing{
		Suspect:      10 * time.Second,
		Dead:         30 * time.Second,
		Forget:       10 * time.Minute,
		ForgetDomain: 24 * time.Hour,
		Remember:     time.Hour,
	}
}

// Heartbeats that may be missed before a member is suspected and counts as dead.
const (
	missedSuspect = 4
	missedDead    = 12
)

// Scaled returns t for heartbeats that grow every interval instead of once a second. The time that a heartbeat takes to
// spread does not grow with the interval, so only the missed heartbeats count.
func (t Timing) Scaled(interval time.Duration) Timing {
	added := max(0, interval-time.Second)
	t.Suspect += missedSuspect * added
	t.Dead += missedDead * added
	t.Forget = max(t.Forget, 2*t.Dead)
	t.ForgetDomain = max(t.ForgetDomain, t.Forget)
	t.Remember = max(t.Remember, 2*t.Forget)
	return t
}

// Interval returns the time between two changes of one member so that the changes of all members, at bytes each, stay
// under bytesPerSecond at a node; it is at least minimum.
func Interval(members, bytes, bytesPerSecond int, minimum time.Duration) time.Duration {
	if bytesPerSecond <= 0 {
		return minimum
	}
	needed := time.Duration(float64(members) * float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
	return max(minimum, needed)
}
