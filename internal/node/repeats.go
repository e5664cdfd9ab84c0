package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// extraShare is the part of the extra that the admission points give out. The rest covers calls of repeated runs, which are
	// not refused, and admission points that count the targets of the service differently.
	extraShare = 0.7
	// minTargets bounds the part of the extra that one admission point gives out while it does not know the others yet.
	minTargets = 6
)

// repeats bounds the repeats at the targets beside this node.
type repeats struct {
	limits settings.Retries
	// targetsOf returns the number of targets of the service.
	targetsOf func(model.ServiceName) int
	windows   map[model.ServiceName]*retry.Window
}

func newRepeats(limits settings.Retries) *repeats {
	return &repeats{
		limits: limits, targetsOf: func(model.ServiceName) int { return 1 },
		windows: make(map[model.ServiceName]*retry.Window),
	}
}

// isOn reports whether the admission points keep the budget.
func (r *repeats) isOn() bool { return r != nil && r.limits.WindowExtra > 0 }

// take counts an attempt that is about to be sent to its target, or returns why it is not to be.
func (r *repeats) take(now time.Duration, head *peerv1.ForwardHead) *verdict.Error {
	if !r.isOn() {
		return nil
	}
	service := model.ServiceName(head.Service)
	window := r.windows[service]
	if window == nil {
		window = retry.NewWindow(settings.RetryWindow, r.limits.Share)
		r.windows[service] = window
	}
	switch {
	case head.Repeat:
	case head.OfRepeat:
		window.AddRetry(now)
		return nil
	default:
		window.AddFirst(now)
		return nil
	}
	if !window.Allows(now, r.extra(now, service)) {
		return verdict.Refused(verdict.RepeatsSpent, nil)
	}
	window.AddRetry(now)
	return nil
}

// extra returns the repeats in a window that the targets beside this node may get without first attempts. The clock began
// with the process: what its predecessor gave out counts for another window.
func (r *repeats) extra(now time.Duration, service model.ServiceName) float64 {
	part := extraShare * r.limits.WindowExtra / float64(max(r.targetsOf(service), minTargets))
	return part * min(now.Seconds()/settings.RetryWindow.Seconds(), 1)
}
