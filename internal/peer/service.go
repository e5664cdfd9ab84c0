package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// service adapts a Handler to the generated server interface.
type service struct {
	*Server
}

// serverStream is what Forward and Redeem have in common on the server's side.
type serverStream interface {
	drpc.Stream
	Send(*peerv1.AnswerFrame) error
	Recv() (*peerv1.ForwardFrame, error)
}

type runFunc func(context.Context, *peerv1.ForwardHead, []byte, Sink) *peerv1.AnswerTrailer

// Hello implements the generated interface.
func (s *service) Hello(_ context.Context, req *peerv1.HelloRequest) (*peerv1.HelloResponse, error) {
	return s.handler.Hello(req), nil
}

// Lookup implements the generated interface.
func (s *service) Lookup(_ context.Context, req *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	return s.handler.Lookup(req), nil
}

// Operation implements the generated interface.
func (s *service) Operation(_ context.Context, req *peerv1.OperationRequest) (*peerv1.OperationResponse, error) {
	return s.handler.Operation(req), nil
}

// Pull implements the generated interface.
func (s *service) Pull(_ context.Context, req *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	return s.handler.Pull(req), nil
}

// Forward implements the generated interface.
func (s *service) Forward(stream peerv1.DRPCPeer_ForwardStream) error {
	return s.serve(stream, s.handler.Forward)
}

// Redeem implements the generated interface.
func (s *service) Redeem(stream peerv1.DRPCPeer_RedeemStream) error {
	return s.serve(stream, s.handler.Redeem)
}

func (s *service) serve(stream serverStream, run runFunc) error {
	head, body, err := s.receive(stream)
	if errors.Is(err, errBodyTooLarge) {
		return stream.Send(&peerv1.AnswerFrame{Trailer: &peerv1.AnswerTrailer{
			Verdict: int32(verdict.NotRun), Reason: string(verdict.BodyTooLarge),
		}})
	}
	if err != nil {
		return err
	}
	sink := &streamSink{stream: stream, interval: s.opts.Progress}
	sink.startProgress()
	defer sink.stopProgress()
	trailer := run(stream.Context(), head, body, sink)
	if err := sink.send(&peerv1.AnswerFrame{Trailer: trailer}); err != nil {
		return err
	}
	sink.stopProgress()
	if !head.Idempotent {
		s.awaitConfirmation(stream, head.Attempt)
	}
	return nil
}

// awaitConfirmation waits until the accepting node closes its side of the stream after it has received the trailer.
func (s *service) awaitConfirmation(stream serverStream, attempt string) {
	if _, err := stream.Recv(); errors.Is(err, io.EOF) {
		s.handler.Collected(attempt)
	}
}

var (
	errNoHead       = errors.New("peer: the first frame has no head")
	errBodyTooLarge = errors.New("peer: request body over the limit")
)

func (s *service) receive(stream serverStream) (*peerv1.ForwardHead, []byte, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	if frame.Head == nil {
		return nil, nil, errNoHead
	}
	head, body := frame.Head, frame.Body
	for !frame.End {
		if frame, err = stream.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		if len(body)+len(frame.Body) > s.maxBody {
			return nil, nil, errBodyTooLarge
		}
		body = append(body, frame.Body...)
	}
	return head, body, nil
}

// streamSink sends an answer to the accepting node, with progress frames while there is nothing else to send.
type streamSink struct {
	stream   serverStream
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (s *streamSink) startProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.interval, s.progress)
}

func (s *streamSink) progress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	// A failed progress frame needs no handling: the next real frame fails as well, and the context ends.
	if s.stream.Send(&peerv1.AnswerFrame{}) == nil {
		s.timer.Reset(s.interval)
	}
}

func (s *streamSink) stopProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

func (s *streamSink) send(frame *peerv1.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.stream.Send(frame)
	if !s.stopped {
		s.timer.Reset(s.interval)
	}
	return err
}

// Head implements Sink.
func (s *streamSink) Head(head *peerv1.AnswerHead) error {
	return s.send(&peerv1.AnswerFrame{Head: head})
}

// Body implements Sink.
func (s *streamSink) Body(piece []byte) error {
	return s.send(&peerv1.AnswerFrame{Body: piece})
}
