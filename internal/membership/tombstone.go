package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// tombstone holds the last heartbeat of an evicted member.
type tombstone struct {
	incarnation model.Incarnation
	heartbeat   uint64
	expiresAt   time.Duration
}

// covers reports whether the record has no later incarnation or heartbeat than the evicted member.
func (t tombstone) covers(record *model.NodeRecord) bool {
	if record.Incarnation != t.incarnation {
		return record.Incarnation < t.incarnation
	}
	return record.Heartbeat <= t.heartbeat
}
