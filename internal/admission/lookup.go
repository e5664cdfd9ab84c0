package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Lookup returns the status of an attempt. With fence, an attempt without a slot never gets one: an attempt without a
// record is fenced, and a queued one is refused, which Events reports.
//
// Without fence, an attempt in StateNotAdmitted may still be admitted later. An attempt whose record may have been removed
// is reported as StateEnded.
func (p *Point) Lookup(now time.Duration, attempt model.AttemptID, incarnation model.Incarnation, fence bool) Status {
	p.advance(now)
	if incarnation != p.incarnation {
		return Status{State: StateUnknownIncarnation}
	}
	r := p.records[attempt]
	switch {
	case r == nil && p.watermarks.covers(attempt):
		return Status{State: StateEnded}
	case r == nil:
		return p.lookupUnknown(attempt, fence)
	case r.work != nil:
		return p.lookupWork(r.work, fence)
	}
	return r.status()
}

func (p *Point) lookupUnknown(attempt model.AttemptID, fence bool) Status {
	if fence {
		p.storeEnded(attempt, &record{state: StateNotAdmitted, reason: verdict.AttemptFenced})
	}
	return Status{State: StateNotAdmitted, Fenced: fence}
}

func (p *Point) lookupWork(w *work, fence bool) Status {
	if !w.queued || !fence {
		return Status{State: StateRunning, Queued: w.queued}
	}
	attempt := w.request.Attempt
	p.refuseQueued(w, verdict.AttemptFenced)
	return p.records[attempt].status()
}

func (r *record) status() Status {
	return Status{
		State:  r.state,
		Fenced: r.state == StateNotAdmitted,
		Reason: r.reason,
		Answer: r.answer,
	}
}
