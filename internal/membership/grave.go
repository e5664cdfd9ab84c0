package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// grave is the last sign of life of a member that was dropped.
type grave struct {
	incarnation model.Incarnation
	heartbeat   uint64
	until       time.Duration
}

// covers reports whether the record has no later sign of life.
func (g grave) covers(record *model.NodeRecord) bool {
	if record.Incarnation != g.incarnation {
		return record.Incarnation < g.incarnation
	}
	return record.Heartbeat <= g.heartbeat
}
