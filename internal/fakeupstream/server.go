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
	config   Config
	runs     *runLog
	faults   *faultBox
	counters *counters
	work     *http.Server
	control  *http.Server
	workAt   net.Listener
	ctrlAt   net.Listener
	announce *announcer

	dice   *rand.Rand
	diceMu sync.Mutex

	drainOnce sync.Once
	draining  chan struct{}
	wake      chan struct{}
	stop      context.CancelFunc
	done      chan struct{}
}

// Start opens the listeners and begins to announce.
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
		faults:   newFaultBox(),
		counters: &counters{status: Status{Target: config.Target, Slots: config.Slots}},
		dice:     rand.New(rand.NewPCG(config.Seed, 0)),
		draining: make(chan struct{}),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.serve(s.work, s.workAt)
	go s.serve(s.control, s.ctrlAt)
	go s.live(ctx)
	return s, nil
}

func (s *Server) listen() error {
	var err error
	s.workAt, err = net.Listen("tcp", s.config.Listen)
	if err != nil {
		return errors.Wrap(err, "work listener")
	}
	s.ctrlAt, err = net.Listen("tcp", s.config.Control)
	if err != nil {
		s.workAt.Close()
		return errors.Wrap(err, "control listener")
	}
	s.work = &http.Server{Handler: s.workHandler(), ReadHeaderTimeout: readHeaderTimeout}
	s.control = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	if s.config.Node != "" {
		s.announce = newAnnouncer(s.config.Node)
	}
	return nil
}

// readHeaderTimeout ends connections that never send a request.
const readHeaderTimeout = 10 * time.Second

func (s *Server) serve(server *http.Server, listener net.Listener) {
	// Serve returns ErrServerClosed at the end; other errors end the listener, which the node sees as refused
	// connections.
	_ = server.Serve(listener)
}

// Address returns host:port for requests.
func (s *Server) Address() string { return s.workAt.Addr().String() }

// ControlAddress returns host:port of the control listener.
func (s *Server) ControlAddress() string { return s.ctrlAt.Addr().String() }

// Drain announces that the upstream is draining. If exit is true, the upstream leaves when its work is done.
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

// Done is closed when the upstream has left.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close ends the upstream at once and breaks its connections.
func (s *Server) Close() {
	s.stop()
	s.work.Close()
	<-s.done
}
