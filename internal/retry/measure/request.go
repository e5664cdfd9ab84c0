package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// request is one idempotent request at its accepting node.
type request struct {
	*simulation
	arrived       time.Duration
	attempt       int
	refusals      int
	capacityWaits int
	tried         [targets]bool
}

func (r *request) remaining() time.Duration { return r.arrived + deadline - r.now }

// untried returns the number of targets that were not tried since the last backoff.
func (r *request) untried() int {
	count := 0
	for _, tried := range r.tried {
		if !tried {
			count++
		}
	}
	return count
}

// pick returns the less loaded of two random untried targets. Once all targets were tried, all count as untried again.
func (r *request) pick() int {
	if r.untried() == 0 {
		r.tried = [targets]bool{}
	}
	first, second := r.draw(), r.draw()
	if len(r.upstreams[second].jobs) < len(r.upstreams[first].jobs) {
		first = second
	}
	r.tried[first] = true
	return first
}

func (r *request) draw() int {
	for {
		if i := r.rng.IntN(targets); !r.tried[i] {
			return i
		}
	}
}

// send makes one attempt.
func (r *request) send() {
	u := r.upstreams[r.pick()]
	r.tally.message(r.now)
	r.after(messageTime, func() { r.admit(u) })
}

func (r *request) admit(u *upstream) {
	r.serial++
	id := model.NewAttemptID("n", incarnation, r.serial)
	d := r.point.Admit(r.now, admission.Request{
		Attempt: id, Service: service, Target: u.id, Idempotent: true, Incarnation: incarnation,
		AdmitBefore: r.now + deadline, Deadline: r.arrived + deadline,
	})
	switch d.Kind {
	case admission.Admitted:
		r.dispatch(u, id)
	case admission.Refused:
		r.handleFailure(d.Err)
	case admission.Queued:
		r.waiting[id] = func(granted bool) {
			if !granted {
				r.handleFailure(verdict.Refused(verdict.QueueDeadline, nil))
				return
			}
			r.dispatch(u, id)
		}
	}
}

// dispatch runs the attempt at the upstream until it ends or times out.
func (r *request) dispatch(u *upstream, id model.AttemptID) {
	r.tally.dispatched(r.now)
	ended := false
	j := &job{workRemaining: r.scenario.upstreams.work(r.rng)}
	lost := r.rng.IntN(100) < lossPercent
	j.done = func() {
		if ended {
			return
		}
		ended = true
		if lost {
			r.finish(id, admission.Lost)
			r.handleFailure(verdict.Uncertain(verdict.UpstreamLost, nil))
			return
		}
		r.finish(id, admission.Answered)
		r.tally.answered(r.arrived)
	}
	u.start(j)
	r.after(min(attemptTime, r.remaining()), func() {
		if ended {
			return
		}
		ended = true
		if !r.scenario.upstreams.ignoresCancel {
			u.cancel(j)
		}
		r.finish(id, admission.Cancelled)
		r.handleFailure(verdict.Uncertain(verdict.UpstreamTimeout, nil))
	})
}

func (r *request) finish(id model.AttemptID, outcome admission.Outcome) {
	for _, grant := range r.point.Finish(r.now, id, admission.Result{Outcome: outcome}) {
		r.after(0, func() { r.resumeQueued(grant.Attempt, true) })
	}
}

// handleFailure starts another attempt if the policy decides so.
func (r *request) handleFailure(err *verdict.Error) {
	r.refusals++
	in := retry.Input{
		Class: declaration.Idempotent, Attempt: r.attempt, MaxAttempts: maxAttempts, Refusals: r.refusals, Untried: r.untried(),
		CapacityWaits: r.capacityWaits, Err: err, Remaining: r.remaining(),
	}
	d := r.scenario.policy.decide(in, r.budget, r.now, r.rng)
	if !d.Retry {
		return
	}
	next := in.Next(d)
	r.attempt, r.capacityWaits = next.Attempt, next.CapacityWaits
	if !d.TryNextTarget {
		r.refusals = 0
		r.tried = [targets]bool{}
	}
	r.after(d.After, r.send)
}
