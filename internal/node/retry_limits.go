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
	// extraShare is the share of Retries.WindowExtra that the admission points allow together. The rest covers nested
	// requests of retries, which are not refused, and differences in the number of targets that admission points count.
	extraShare = 0.7
	// cutRunShare is the share beyond extraShare for repeats of runs that were cut off with their node: their callers get no
	// response otherwise. It is available from the start of the process, because nodes that stop one after the other leave only
	// admission points that have just started.
	cutRunShare = 0.1
	// minAssumedTargets is the least number of targets among which the extra retries are divided. It bounds the part that
	// one admission point allows while it has not received the other targets yet.
	minAssumedTargets = 6
)

// retryWindows limits the additional attempts, which are retries and hedges, at the local targets of each service.
type retryWindows struct {
	limits settings.Retries
	// targetsOf returns the number of targets of the service.
	targetsOf func(model.ServiceName) int
	windows   map[model.ServiceName]*retry.Window
}

func newRetryWindows(limits settings.Retries) *retryWindows {
	return &retryWindows{
		limits: limits, targetsOf: func(model.ServiceName) int { return 1 },
		windows: make(map[model.ServiceName]*retry.Window),
	}
}

// enabled reports whether the admission points enforce the retry budget.
func (r *retryWindows) enabled() bool { return r != nil && r.limits.WindowExtra > 0 }

// admit counts an attempt that is about to be sent to its target. It returns an error if the budget is exhausted.
func (r *retryWindows) admit(now time.Duration, head *peerv1.ForwardHead) *verdict.Error {
	if !r.enabled() {
		return nil
	}
	service := model.ServiceName(head.Service)
	window := r.window(service)
	switch {
	case head.Repeat:
	case head.OfRepeat:
		window.AddRetry(now)
		return nil
	default:
		window.AddFirst(now)
		return nil
	}
	if refusal := r.check(now, head); refusal != nil {
		return refusal
	}
	window.AddRetry(now)
	return nil
}

// check returns the error of an additional attempt that the budget does not allow now. It counts nothing.
func (r *retryWindows) check(now time.Duration, head *peerv1.ForwardHead) *verdict.Error {
	if !r.enabled() || !head.Repeat {
		return nil
	}
	service := model.ServiceName(head.Service)
	extra := r.extraRetries(now, service)
	if head.ReplacesCutRun {
		extra += r.cutRunReserve(service)
	}
	if r.window(service).Allows(now, extra) {
		return nil
	}
	return verdict.Refused(verdict.RepeatsSpent, nil)
}

// window returns the window that counts the attempts of the service.
func (r *retryWindows) window(service model.ServiceName) *retry.Window {
	window := r.windows[service]
	if window == nil {
		window = retry.NewWindow(settings.RetryWindow, r.limits.Share)
		r.windows[service] = window
	}
	return window
}

// extraRetries returns the number of additional attempts in a window that the local targets may get without first
// attempts. It grows linearly over the first window after the start of the process, because retries that the previous
// process allowed still count for one window. The clock starts at zero with the process.
func (r *retryWindows) extraRetries(now time.Duration, service model.ServiceName) float64 {
	return r.part(extraShare, service) * min(now.Seconds()/settings.RetryWindow.Seconds(), 1)
}

// cutRunReserve returns the number of additional attempts in a window that repeats of cut runs may get beyond extraRetries. There
// is none before the other targets are known, as this admission point's part isn't either.
func (r *retryWindows) cutRunReserve(service model.ServiceName) float64 {
	if r.targetsOf(service) <= 1 {
		return 0
	}
	return r.part(cutRunShare, service)
}

// part returns this admission point's part of a share of Retries.WindowExtra.
func (r *retryWindows) part(share float64, service model.ServiceName) float64 {
	return share * r.limits.WindowExtra / float64(max(r.targetsOf(service), minAssumedTargets))
}
