package loadexchange

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// refreshInterval is the time after which all loads are sent again, because datagrams may be lost.
const refreshInterval = 2 * time.Second

// outbox tracks the loads that were sent to a destination.
type outbox struct {
	// interval is the minimum time between two sends.
	interval    time.Duration
	sent        map[model.TargetID]loadClass
	sentAt      time.Duration
	refreshedAt time.Duration
}

func newOutbox(interval time.Duration, now time.Duration) *outbox {
	return &outbox{
		interval: interval, sent: make(map[model.TargetID]loadClass),
		sentAt: now - interval, refreshedAt: now - refreshInterval,
	}
}

// due returns the targets whose load is to be sent to the destination now, ordered by ID, and marks them as sent.
func (o *outbox) due(now time.Duration, loads map[model.TargetID]model.TargetLoad) []model.TargetID {
	if now-o.sentAt < o.interval {
		return nil
	}
	refresh := now-o.refreshedAt >= refreshInterval
	if refresh {
		o.refreshedAt = now
		clear(o.sent)
	}
	var due []model.TargetID
	for id, load := range loads {
		c := classify(load)
		if last, ok := o.sent[id]; ok && last == c {
			continue
		}
		o.sent[id] = c
		due = append(due, id)
	}
	if len(due) > 0 {
		o.sentAt = now
	}
	slices.SortFunc(due, func(a, b model.TargetID) int { return strings.Compare(string(a), string(b)) })
	return due
}
