package membership

import "time"

// Timing holds the timeouts of failure detection. Ages are times since a heartbeat last grew.
type Timing struct {
	// SuspectAfter is the heartbeat age from which a member is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the heartbeat age from which a member is dead.
	DeadAfter time.Duration
	// EvictAfter is the heartbeat age from which a dead member is evicted if its domain has a live member.
	EvictAfter time.Duration
	// EvictDomainAfter is the heartbeat age from which dead members of a domain without a live member are evicted.
	EvictDomainAfter time.Duration
	// TombstoneTTL is how long the last heartbeat of an evicted member is kept, so that peers that still have the member
	// cannot reintroduce it.
	TombstoneTTL time.Duration
}

// DefaultTiming returns the timeouts for a fleet whose heartbeats grow once a second.
func DefaultTiming() Timing {
	return Timing{
		SuspectAfter:     10 * time.Second,
		DeadAfter:        30 * time.Second,
		EvictAfter:       10 * time.Minute,
		EvictDomainAfter: 24 * time.Hour,
		TombstoneTTL:     time.Hour,
	}
}

// Numbers of heartbeats that may be missed before a member is suspected or dead.
const (
	missedUntilSuspected = 4
	missedUntilDead      = 12
)

// Scaled returns t for heartbeats that grow every interval instead of once a second. Propagation of a heartbeat does not
// take longer with a longer interval, so only the time of the missed heartbeats is added.
func (t Timing) Scaled(interval time.Duration) Timing {
	added := max(0, interval-time.Second)
	t.SuspectAfter += missedUntilSuspected * added
	t.DeadAfter += missedUntilDead * added
	t.EvictAfter = max(t.EvictAfter, 2*t.DeadAfter)
	t.EvictDomainAfter = max(t.EvictDomainAfter, t.EvictAfter)
	t.TombstoneTTL = max(t.TombstoneTTL, 2*t.EvictAfter)
	return t
}

// Interval returns the shortest time between two changes of one member that keeps the changes of all members, at bytes
// each, within bytesPerSecond at a node. It is at least minimum.
func Interval(members, bytes, bytesPerSecond int, minimum time.Duration) time.Duration {
	if bytesPerSecond <= 0 {
		return minimum
	}
	needed := time.Duration(float64(members) * float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
	return max(minimum, needed)
}
