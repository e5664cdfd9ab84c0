package fakeupstream

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// quietRounds is the number of announcements in a row without work that end a drain. A request that the node sent just
// before it accepted the phase arrives within one announcement period.
const quietRounds = 2

// live announces the upstream until it has drained or ctx ends.
func (s *Server) live(ctx context.Context) {
	defer s.shutdown()
	ready := time.NewTimer(s.config.ColdStart)
	defer ready.Stop()
	ticker := time.NewTicker(s.config.announcePeriod())
	defer ticker.Stop()
	quiet := 0
	for {
		s.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ready.C:
			s.counters.advance(model.PhaseReady)
		case <-s.wake:
		case <-ticker.C:
			quiet = s.countQuiet(quiet)
		}
		if quiet >= quietRounds {
			s.counters.advance(model.PhaseLeaving)
			s.announceOnce(ctx)
			return
		}
	}
}

// countQuiet returns the number of periods in a row in which the upstream was to leave and had nothing to do.
func (s *Server) countQuiet(quiet int) int {
	select {
	case <-s.draining:
	default:
		return 0
	}
	if s.counters.snapshot().InFlight > 0 {
		return 0
	}
	return quiet + 1
}

// announceOnce makes one announcement. A failed one is made up for by the next.
func (s *Server) announceOnce(ctx context.Context) {
	if s.announce == nil {
		return
	}
	faults, _ := s.faults.get()
	if faults.Mute {
		return
	}
	if !s.faults.waitUntil(ctx.Done(), thawed) {
		return
	}
	phase, err := s.announce.send(ctx, s.announcement(faults))
	if err != nil {
		return
	}
	s.counters.add(func(status *Status) { status.Accepted = phase })
}

func (s *Server) announcement(faults Faults) announcement {
	status := s.counters.snapshot()
	load := float64(status.InFlight) / float64(status.Slots)
	if faults.StuckLoad != nil {
		load = *faults.StuckLoad
	}
	return announcement{
		Service: s.config.Service,
		Target:  s.config.Target,
		Address: s.Address(),
		Slots:   status.Slots,
		Phase:   status.Phase,
		Load:    load,
	}
}

// shutdownTimeout is the time that connections get to become idle.
const shutdownTimeout = 5 * time.Second

func (s *Server) shutdown() {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.work.Shutdown(ctx)
	s.control.Close()
	_ = s.runs.close()
}
