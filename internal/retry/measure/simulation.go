package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
)

const (
	service     = model.ServiceName("measured")
	incarnation = model.Incarnation(1)
)

// simulation runs generated load against the admission point and the retry decision of one service.
type simulation struct {
	timeline
	scenario  scenario
	rng       *rand.Rand
	point     *admission.Point
	budget    *retry.Budget
	upstreams []*upstream
	waiting   map[model.AttemptID]func(granted bool)
	serial    uint64
	tally     tally
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{
		scenario: s,
		rng:      rand.New(rand.NewPCG(s.seed, s.seed)),
		point:    admission.NewPoint(admission.DefaultLimits(), incarnation),
		budget:   retry.NewBudget(s.policy.budget, 0),
		waiting:  map[model.AttemptID]func(bool){},
	}
	for i := range targets {
		id := model.TargetID(rune('a' + i))
		sim.upstreams = append(sim.upstreams, &upstream{timeline: &sim.timeline, id: id, announced: s.upstreams.announced, real: realSlots, speed: 1})
	}
	return sim
}

// run simulates the scenario and returns its counts.
func (s *simulation) run() *tally {
	s.announce()
	s.expire()
	s.scheduleArrival()
	end := warmUp + measuredTime
	if s.scenario.brownOut {
		s.after(warmUp, func() { s.setSpeed(brownOutSpeed) })
		s.after(warmUp+brownOutTime, func() { s.setSpeed(1) })
		end = warmUp + brownOutTime + s.scenario.upstreams.recoveryWindow
	}
	s.runUntil(end + deadline)
	return &s.tally
}

func (s *simulation) setSpeed(speed float64) {
	for _, u := range s.upstreams {
		u.setSpeed(speed)
	}
}

func (s *simulation) announce() {
	for _, u := range s.upstreams {
		a := admission.Announcement{Service: service, Target: u.id, Address: string(u.id), Slots: u.announced, Phase: model.PhaseReady}
		if err := s.point.Announce(s.now, a); err != nil {
			panic(err)
		}
	}
	s.after(time.Second, s.announce)
}

func (s *simulation) expire() {
	for _, e := range s.point.Expire(s.now) {
		switch e.Kind {
		case admission.EventGranted, admission.EventRefused:
			s.resumeQueued(e.Attempt, e.Kind == admission.EventGranted)
		}
	}
	s.after(expireInterval, s.expire)
}

// resumeQueued continues a queued attempt with the decision of the admission point.
func (s *simulation) resumeQueued(attempt model.AttemptID, granted bool) {
	waiting := s.waiting[attempt]
	delete(s.waiting, attempt)
	waiting(granted)
}

// scheduleArrival schedules the next request of a Poisson process.
func (s *simulation) scheduleArrival() {
	mean := float64(time.Second) / (capacity * s.scenario.offered)
	s.after(time.Duration(s.rng.ExpFloat64()*mean), func() {
		s.budget.AddRequest(s.now)
		r := &request{simulation: s, arrived: s.now, attempt: 1}
		s.tally.arrived(s.now)
		r.send()
		s.scheduleArrival()
	})
}
