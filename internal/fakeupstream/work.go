package fakeupstream

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// ProbePath answers health checks. It does not take a slot.
const ProbePath = "/probe"

// workHandler serves requests: /probe, /echo, /archive?bytes=N, and operations at every other path with POST.
func (s *Server) workHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ProbePath, s.handleProbe)
	mux.Handle("GET /echo", s.slotted(s.handleEcho))
	mux.Handle("POST /echo", s.slotted(s.handleEcho))
	mux.Handle("GET /archive", s.slotted(s.handleArchive))
	mux.Handle("POST /", s.slotted(s.handleOperation))
	mux.Handle("GET /", s.slotted(s.handleArchive))
	return mux
}

func (s *Server) handleProbe(w http.ResponseWriter, r *http.Request) {
	s.counters.add(func(status *Status) { status.Probes++ })
	if s.faults.waitUntil(r.Context().Done(), thawed) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// slotted runs next in one of the upstream's slots and applies the faults that come before any work.
func (s *Server) slotted(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.faults.waitUntil(r.Context().Done(), thawed) {
			return
		}
		if s.shedsAll() || !s.counters.begin() {
			shed(w)
			return
		}
		defer s.counters.end()
		w.Header().Set(HeaderTarget, s.config.Target)
		w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
		next(w, r)
		s.countEnd(r)
	})
}

func (s *Server) shedsAll() bool {
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

func (s *Server) countEnd(r *http.Request) {
	cancelled := r.Context().Err() != nil
	s.counters.add(func(status *Status) {
		if cancelled {
			status.Cancelled++
			return
		}
		status.Finished++
	})
}

// perform does the work of a request. It returns false if the request is over: answered with an injected failure, or
// cancelled.
func (s *Server) perform(w http.ResponseWriter, r *http.Request) bool {
	faults, _ := s.faults.get()
	if r.Header.Get(HeaderPoison) != "" && !faults.IgnorePoison {
		s.config.Crash()
	}
	if !pause(r.Context(), s.workTime(r)+time.Duration(faults.FirstByteMS)*time.Millisecond) {
		return false
	}
	if !s.faults.waitUntil(r.Context().Done(), answering) {
		return false
	}
	if faults, _ := s.faults.get(); faults.DropAnswer {
		s.counters.add(func(status *Status) { status.Failed++ })
		panic(http.ErrAbortHandler)
	}
	if s.failsNow() {
		s.counters.add(func(status *Status) { status.Failed++ })
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return false
	}
	return true
}

func (s *Server) workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderWorkMS), 10, 64)
	if err != nil {
		return s.config.Work
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Server) failsNow() bool {
	faults, _ := s.faults.get()
	if faults.FailWork {
		return true
	}
	if faults.ErrorShare == 0 {
		return false
	}
	s.diceMu.Lock()
	defer s.diceMu.Unlock()
	return s.dice.Float64() < faults.ErrorShare
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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
