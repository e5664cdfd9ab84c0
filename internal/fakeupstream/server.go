package fakeupstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Server is one running upstream.
type Server struct {
	config          Config
	runs            *runLog
	faults          *activeFaults
	counters        *counters
	workServer      *http.Server
	controlServer   *http.Server
	workListener    net.Listener
	controlListener net.Listener
	announcer       *announcer

	rng   *rand.Rand
	rngMu sync.Mutex

	drainOnce sync.Once
	draining  chan struct{}
	wake      chan struct{}
	stop      context.CancelFunc
	done      chan struct{}
}

// Start opens the listeners and starts the announcements.
func Start(config Config) (*Server, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	runs, err := openRunLog(config.RunLog)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:   config,
		runs:     runs,
		faults:   newActiveFaults(),
		counters: &counters{status: Status{Target: config.Target, Slots: config.Slots}},
		rng:      rand.New(rand.NewPCG(config.Seed, 0)),
		draining: make(chan struct{}),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.serve(s.workServer, s.workListener)
	go s.serve(s.controlServer, s.controlListener)
	go s.announceLoop(ctx)
	return s, nil
}

func (s *Server) listen() error {
	var err error
	s.workListener, err = net.Listen("tcp", s.config.Listen)
	if err != nil {
		return errors.Wrap(err, "work listener")
	}
	s.controlListener, err = net.Listen("tcp", s.config.Control)
	if err != nil {
		s.workListener.Close()
		return errors.Wrap(err, "control listener")
	}
	s.workServer = &http.Server{Handler: s.workHandler(), ReadHeaderTimeout: readHeaderTimeout}
	s.controlServer = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	if s.config.Node != "" {
		s.announcer = newAnnouncer(s.config.Node)
	}
	return nil
}

// readHeaderTimeout closes connections that never send a request.
const readHeaderTimeout = 10 * time.Second

func (s *Server) serve(server *http.Server, listener net.Listener) {
	// Serve returns ErrServerClosed after a shutdown. Other errors close the listener; the node's connections are then
	// refused.
	_ = server.Serve(listener)
}

// Address returns host:port for requests.
func (s *Server) Address() string { return s.workListener.Addr().String() }

// ControlAddress returns host:port of the control listener.
func (s *Server) ControlAddress() string { return s.controlListener.Addr().String() }

// Drain makes the upstream announce the phase draining. If exit is true, the upstream announces the phase leaving and
// shuts down when its requests are complete.
func (s *Server) Drain(exit bool) {
	s.counters.advance(model.PhaseDraining)
	if exit {
		s.drainOnce.Do(func() { close(s.draining) })
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when the upstream has shut down.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the upstream immediately and closes its connections.
func (s *Server) Close() {
	s.stop()
	s.workServer.Close()
	<-s.done
}
