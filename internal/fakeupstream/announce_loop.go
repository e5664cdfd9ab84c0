package fakeupstream

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// drainIdlePeriods is the number of consecutive announcement periods without a request after which a drain ends. A
// request that the node sent just before it accepted the phase arrives within one period.
const drainIdlePeriods = 2

// announceLoop announces the upstream until it has drained or ctx ends, and then shuts it down.
func (s *Server) announceLoop(ctx context.Context) {
	defer s.shutdown()
	ready := time.NewTimer(s.config.ColdStart)
	defer ready.Stop()
	ticker := time.NewTicker(s.config.announcePeriod())
	defer ticker.Stop()
	idlePeriods := 0
	for {
		s.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ready.C:
			s.counters.advance(model.PhaseReady)
		case <-s.wake:
		case <-ticker.C:
			idlePeriods = s.countIdlePeriods(idlePeriods)
		}
		if idlePeriods >= drainIdlePeriods {
			s.counters.advance(model.PhaseLeaving)
			s.announceOnce(ctx)
			return
		}
	}
}

// countIdlePeriods returns the number of consecutive periods in which the upstream was draining and had no request in
// flight.
func (s *Server) countIdlePeriods(idlePeriods int) int {
	select {
	case <-s.draining:
	default:
		return 0
	}
	if s.counters.snapshot().InFlight > 0 {
		return 0
	}
	return idlePeriods + 1
}

// announceOnce sends one announcement. A failure is ignored: the next announcement sends the whole state again.
func (s *Server) announceOnce(ctx context.Context) {
	if s.announcer == nil {
		return
	}
	faults, _ := s.faults.get()
	if faults.StopAnnouncements {
		return
	}
	if !s.faults.waitUntil(ctx.Done(), notFrozen) {
		return
	}
	phase, err := s.announcer.send(ctx, s.announcement(faults))
	if err != nil {
		return
	}
	s.counters.add(func(status *Status) { status.AcceptedPhase = phase })
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

// shutdownTimeout limits the wait for connections to become idle.
const shutdownTimeout = 5 * time.Second

func (s *Server) shutdown() {
	defer close(s.done)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.workServer.Shutdown(ctx)
	s.controlServer.Close()
	_ = s.runs.close()
}
