package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	testIncarnation = model.Incarnation(7)
	testService     = model.ServiceName("ledger")
)

// trackedAttempt is the expected state of an attempt.
type trackedAttempt struct {
	request Request
	queued  bool
	running bool
	ran     bool
	// notRun means that the point reported the attempt as not run.
	notRun bool
	ended  bool
}

// machine drives a Point with random calls and checks it against a simple model.
type machine struct {
	point    *Point
	limits   Limits
	now      time.Duration
	serial   uint64
	attempts map[model.AttemptID]*trackedAttempt
	order    []model.AttemptID
	targets  map[model.TargetID]Announcement
	drained  map[model.TargetID]bool
	stopping bool
}

func newMachine(limits Limits) *machine {
	return &machine{
		point:    NewPoint(limits, testIncarnation),
		limits:   limits,
		attempts: map[model.AttemptID]*trackedAttempt{},
		targets:  map[model.TargetID]Announcement{},
		drained:  map[model.TargetID]bool{},
	}
}

func drawTarget(t *rapid.T) model.TargetID {
	return model.TargetID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"))
}

// drawAttempt mostly draws one of the latest attempts, so that running and recently ended ones are drawn often.
func (m *machine) drawAttempt(t *rapid.T) *trackedAttempt {
	if len(m.order) == 0 {
		t.Skip("no attempt yet")
	}
	first := max(0, len(m.order)-rapid.SampledFrom([]int{8, 8, 32}).Draw(t, "window"))
	return m.attempts[m.order[rapid.IntRange(first, len(m.order)-1).Draw(t, "attempt")]]
}

func (m *machine) acceptsRequests(id model.TargetID) bool {
	a, announced := m.targets[id]
	return announced && a.Phase == model.PhaseReady && !m.drained[id] && !m.stopping
}

// start records an admission and checks the invariants for it.
func (m *machine) start(t *rapid.T, f *trackedAttempt) {
	id := f.request.Attempt
	switch {
	case f.running || f.ran:
		t.Fatalf("attempt %s was admitted twice", id)
	case f.notRun:
		t.Fatalf("attempt %s was admitted after not-run was reported", id)
	case !m.acceptsRequests(f.request.Target):
		t.Fatalf("attempt %s was admitted to target %s, which accepts no requests", id, f.request.Target)
	case f.request.Deadline <= m.now || f.request.AdmitBefore < m.now:
		t.Fatalf("attempt %s was admitted too late", id)
	}
	f.queued, f.running, f.ran = false, true, true
	running := 0
	for _, other := range m.attempts {
		if other.running && other.request.Target == f.request.Target {
			running++
		}
	}
	if slots := m.targets[f.request.Target].Slots; running > slots {
		t.Fatalf("target %s runs %d attempts in %d slots", f.request.Target, running, slots)
	}
}

func (m *machine) recordNotRun(t *rapid.T, f *trackedAttempt) {
	if f.ran {
		t.Fatalf("not-run was reported for attempt %s, which was admitted", f.request.Attempt)
	}
	f.queued, f.notRun = false, true
}

func (m *machine) grant(t *rapid.T, grants []Grant) {
	for _, grant := range grants {
		f := m.attempts[grant.Attempt]
		if f == nil || !f.queued {
			t.Fatalf("attempt %s got a slot without being queued", grant.Attempt)
		}
		m.start(t, f)
	}
}

func (m *machine) newRequest(t *rapid.T) *trackedAttempt {
	m.serial++
	ahead := rapid.SampledFrom([]time.Duration{-time.Second, 2 * time.Second, 25 * time.Second, 25 * time.Second, 40 * time.Second})
	f := &trackedAttempt{request: Request{
		Attempt:     model.NewAttemptID("n.1", 1, m.serial),
		Service:     testService,
		Target:      drawTarget(t),
		Incarnation: testIncarnation,
		AdmitBefore: m.now + ahead.Draw(t, "ahead"),
		Deadline:    m.now + time.Duration(rapid.IntRange(1, 20_000).Draw(t, "deadline"))*time.Millisecond,
		Bulk:        rapid.Bool().Draw(t, "bulk"),
	}}
	m.attempts[f.request.Attempt] = f
	m.order = append(m.order, f.request.Attempt)
	return f
}

// send delivers the frame of an attempt, either for the first time or as a duplicate.
func (m *machine) send(t *rapid.T, f *trackedAttempt) {
	d := m.point.Admit(m.now, f.request)
	switch d.Kind {
	case Admitted:
		m.start(t, f)
	case Queued:
		if f.ran || f.queued || f.notRun {
			t.Fatalf("attempt %s was queued again", f.request.Attempt)
		}
		f.queued = true
	case Refused:
		if d.Err.Verdict == verdict.NotRun && !f.queued {
			// A duplicate frame of an attempt that ended as not-run gets the same verdict.
			if !f.ended {
				m.recordNotRun(t, f)
			}
		}
	}
}

func (m *machine) end(t *rapid.T, f *trackedAttempt) {
	if f.running {
		f.running, f.ended = false, true
	}
}

func (m *machine) expire(t *rapid.T) {
	for _, event := range append(m.point.Events(), m.point.Expire(m.now)...) {
		switch event.Kind {
		case EventGranted:
			m.grant(t, []Grant{event.Grant})
		case EventRefused:
			if f := m.attempts[event.Attempt]; f.queued {
				m.recordNotRun(t, f)
			} else if !f.notRun {
				t.Fatalf("attempt %s was refused from a queue without being in it", event.Attempt)
			}
		}
	}
}

func (m *machine) lookup(t *rapid.T, f *trackedAttempt, fence bool) {
	status := m.point.Lookup(m.now, f.request.Attempt, testIncarnation, fence)
	switch {
	case fence && status.State == StateRunning && !f.running:
		t.Fatalf("attempt %s is still queued after it was fenced", f.request.Attempt)
	case status.State == StateNotAdmitted && (f.ran || f.queued):
		t.Fatalf("attempt %s is reported as never admitted", f.request.Attempt)
	case status.State == StateNotAdmitted && fence, status.State == StateRefused && !f.ended:
		m.recordNotRun(t, f)
	case status.State == StateRunning && !f.running && !f.queued:
		t.Fatalf("attempt %s is reported as running", f.request.Attempt)
	}
}

// check compares the point with the model after every call.
func (m *machine) check(t *rapid.T) {
	m.expire(t)
	running, queued := 0, map[model.TargetID]int{}
	for _, f := range m.attempts {
		if f.running {
			running++
		}
		if f.queued {
			queued[f.request.Target]++
		}
		if f.queued && !m.acceptsRequests(f.request.Target) {
			t.Fatalf("attempt %s is queued for target %s, which accepts no requests", f.request.Attempt, f.request.Target)
		}
	}
	if got := m.point.InFlight(); got != running {
		t.Fatalf("%d attempts in flight, %d are running", got, running)
	}
	for _, target := range m.point.Targets(m.now) {
		if target.Queued > m.limits.QueuePerTarget || target.Queued != queued[target.ID] {
			t.Fatalf("target %s reports %d queued, model has %d, limit %d", target.ID, target.Queued, queued[target.ID], m.limits.QueuePerTarget)
		}
	}
	if len(m.point.ended.items) > 2*m.limits.Records+2 {
		t.Fatalf("%d records of ended attempts are kept", len(m.point.ended.items))
	}
}

// announce sends an announcement of a random target.
func (m *machine) announce(t *rapid.T, phase model.Phase) {
	id := drawTarget(t)
	a := Announcement{
		Service: testService, Target: id, Address: "127.0.0.1:1", Phase: phase,
		Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
	}
	if err := m.point.Announce(m.now, a); err != nil {
		t.Fatal(err)
	}
	m.targets[id] = a
}

// actions returns the calls from which rapid draws.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":      m.check,
		"admit": func(t *rapid.T) { m.send(t, m.newRequest(t)) },
		"burst": func(t *rapid.T) {
			for range 4 {
				m.send(t, m.newRequest(t))
			}
		},
		// An attempt whose frame is delayed: only a later "repeat" sends it.
		"delay":  func(t *rapid.T) { m.newRequest(t) },
		"repeat": func(t *rapid.T) { m.send(t, m.drawAttempt(t)) },
		"finish": func(t *rapid.T) {
			f := m.drawAttempt(t)
			outcome := Outcome(rapid.IntRange(int(Answered), int(Cancelled)).Draw(t, "outcome"))
			m.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			m.end(t, f)
			m.grant(t, m.point.Finish(m.now, f.request.Attempt, Result{Outcome: outcome, Answer: &Answer{Status: 200}}))
		},
		"cancel": func(t *rapid.T) {
			f := m.drawAttempt(t)
			wasQueued, grants := m.point.Cancel(m.now, f.request.Attempt)
			if wasQueued != f.queued {
				t.Fatalf("cancel of attempt %s: queued %v, expected %v", f.request.Attempt, wasQueued, f.queued)
			}
			if wasQueued {
				m.recordNotRun(t, f)
			}
			m.end(t, f)
			m.grant(t, grants)
		},
		"lookup":  func(t *rapid.T) { m.lookup(t, m.drawAttempt(t), rapid.Bool().Draw(t, "fence")) },
		"collect": func(t *rapid.T) { m.point.AcknowledgeResponse(m.drawAttempt(t).request.Attempt) },
		"ready":   func(t *rapid.T) { m.announce(t, model.PhaseReady) },
		"phase":   func(t *rapid.T) { m.announce(t, model.Phase(rapid.IntRange(0, 3).Draw(t, "phase"))) },
		"drain": func(t *rapid.T) {
			id, drain := drawTarget(t), rapid.IntRange(0, 3).Draw(t, "drain") == 0
			m.point.SetOperatorDrain(id, drain)
			m.drained[id] = drain
		},
		"forget": func(t *rapid.T) {
			if id := drawTarget(t); rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
				m.point.RemoveTarget(m.now, id)
				delete(m.targets, id)
			}
		},
		"stop": func(t *rapid.T) {
			if rapid.IntRange(0, 20).Draw(t, "stop") == 0 {
				m.point.StopAll()
				m.stopping = true
			}
		},
		"wait": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
		},
		// A freeze of the process: the time jumps by up to 120 s, beyond every limit.
		"freeze": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "freeze") {
				m.now += time.Duration(rapid.IntRange(2, 120).Draw(t, "s")) * time.Second
			}
		},
	}
}

// finishAll ends all attempts and checks that no slot or queue place leaks.
func (m *machine) finishAll(t *rapid.T) {
	m.now += time.Minute
	m.expire(t)
	for id, f := range m.attempts {
		if f.queued {
			t.Fatalf("attempt %s is queued after its deadline", id)
		}
		m.end(t, f)
		m.grant(t, m.point.Finish(m.now, id, Result{Outcome: Lost}))
	}
	if m.point.InFlight() != 0 || len(m.point.InFlightOf("a"))+len(m.point.InFlightOf("b")) != 0 {
		t.Fatalf("%d slots leaked", m.point.InFlight())
	}
}

// Guards against slot leaks, double admission, more attempts in flight than slots, admission after a fence or refusal,
// not-run reports for attempts that ran, unbounded queues, and grants at targets that accept no requests. The calls come in
// random order with random jumps of the clock.
func TestPointInvariants(t *testing.T) {
	for _, records := range []int{4, 1 << 16} {
		t.Run(fmt.Sprintf("records=%d", records), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				limits := DefaultLimits()
				limits.QueuePerTarget = 3
				limits.Records = records
				m := newMachine(limits)
				m.announce(rt, model.PhaseReady)
				m.announce(rt, model.PhaseReady)
				rt.Repeat(m.actions())
				m.finishAll(rt)
			})
		})
	}
}
