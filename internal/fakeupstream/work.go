package fakeupstream

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// HealthProbePath is the path for health probes. A health probe does not take a slot.
const HealthProbePath = "/probe"

// workHandler serves /probe, /echo and /archive?bytes=N. At every other path, POST runs an operation and GET is handled
// like /archive.
func (s *Server) workHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthProbePath, s.handleHealthProbe)
	mux.Handle("GET /echo", s.withSlot(s.handleEcho))
	mux.Handle("POST /echo", s.withSlot(s.handleEcho))
	mux.Handle("GET /archive", s.withSlot(s.handleArchive))
	mux.Handle("POST /", s.withSlot(s.handleOperation))
	mux.Handle("GET /", s.withSlot(s.handleArchive))
	return mux
}

func (s *Server) handleHealthProbe(w http.ResponseWriter, r *http.Request) {
	s.counters.add(func(status *Status) { status.HealthProbes++ })
	if s.faults.waitUntil(r.Context().Done(), notFrozen) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// withSlot runs next in one of the upstream's slots and injects the faults that precede any work: Freeze and Shed.
func (s *Server) withSlot(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.faults.waitUntil(r.Context().Done(), notFrozen) {
			return
		}
		if s.shouldShed() || !s.counters.acquireSlot() {
			shed(w)
			return
		}
		defer s.counters.releaseSlot()
		w.Header().Set(HeaderTarget, s.config.Target)
		w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		next(w, r)
		s.countOutcome(r)
	})
}

func (s *Server) shouldShed() bool {
	faults, _ := s.faults.get()
	if faults.Shed {
		s.counters.add(func(status *Status) { status.Shed++ })
	}
	return faults.Shed
}

func shed(w http.ResponseWriter) {
	w.Header().Set(HeaderNotRun, "1")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

func (s *Server) countOutcome(r *http.Request) {
	cancelled := r.Context().Err() != nil
	s.counters.add(func(status *Status) {
		if cancelled {
			status.Cancelled++
			return
		}
		status.Finished++
	})
}

// perform simulates the work of a request and injects its faults. It returns false if the handler must not respond
// anymore: an injected error was sent, or the request was cancelled.
func (s *Server) perform(w http.ResponseWriter, r *http.Request) bool {
	faults, _ := s.faults.get()
	if r.Header.Get(HeaderPoison) != "" && !faults.IgnorePoison {
		s.config.Crash()
	}
	if !sleep(r.Context(), s.workTime(r)+time.Duration(faults.FirstByteMS)*time.Millisecond) {
		return false
	}
	if !s.faults.waitUntil(r.Context().Done(), canRespond) {
		return false
	}
	if faults, _ := s.faults.get(); faults.DropAnswer {
		s.counters.add(func(status *Status) { status.Failed++ })
		panic(http.ErrAbortHandler)
	}
	if s.shouldFail() {
		s.counters.add(func(status *Status) { status.Failed++ })
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return false
	}
	return true
}

func (s *Server) workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderWorkMS), 10, 64)
	if err != nil {
		return s.config.WorkDuration
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Server) shouldFail() bool {
	faults, _ := s.faults.get()
	if faults.FailWork {
		return true
	}
	if faults.ErrorShare == 0 {
		return false
	}
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Float64() < faults.ErrorShare
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
