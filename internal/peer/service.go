package peer

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// service adapts a Handler to the generated server interface.
type service struct {
	*Server
}

// serverStream is the server's side of a Forward or Redeem stream.
type serverStream interface {
	drpc.Stream
	Send(*peerv1.AnswerFrame) error
	Recv() (*peerv1.ForwardFrame, error)
}

type runFunc func(context.Context, *peerv1.ForwardHead, Body, Sink) *peerv1.AnswerTrailer

// Hello implements the generated interface.
func (s *service) Hello(_ context.Context, req *peerv1.HelloRequest) (*peerv1.HelloResponse, error) {
	return s.handler.Hello(req), nil
}

// Lookup implements the generated interface.
func (s *service) Lookup(_ context.Context, req *peerv1.LookupRequest) (*peerv1.LookupResponse, error) {
	res := s.handler.Lookup(req)
	res.Head = encodeAnswerHead(res.Head)
	return res, nil
}

// Operation implements the generated interface.
func (s *service) Operation(_ context.Context, req *peerv1.OperationRequest) (*peerv1.OperationResponse, error) {
	res := s.handler.Operation(req)
	res.Head = encodeAnswerHead(res.Head)
	return res, nil
}

// Pull implements the generated interface.
func (s *service) Pull(_ context.Context, req *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	return s.handler.Pull(req), nil
}

// Chunks implements the generated interface.
func (s *service) Chunks(_ context.Context, req *peerv1.ChunksRequest) (*peerv1.ChunksResponse, error) {
	return s.handler.Chunks(req), nil
}

// Reports implements the generated interface.
func (s *service) Reports(_ context.Context, req *peerv1.ReportsRequest) (*peerv1.ReportsResponse, error) {
	return s.handler.Reports(req), nil
}

// Warn implements the generated interface.
func (s *service) Warn(_ context.Context, req *peerv1.WarnRequest) (*peerv1.WarnResponse, error) {
	s.handler.Warn(req)
	return &peerv1.WarnResponse{}, nil
}

// Stopping implements the generated interface.
func (s *service) Stopping(_ context.Context, req *peerv1.StoppingRequest) (*peerv1.StoppingResponse, error) {
	s.handler.Stopping(req)
	return &peerv1.StoppingResponse{}, nil
}

// Quota implements the generated interface.
func (s *service) Quota(_ context.Context, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error) {
	return s.handler.Quota(req), nil
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
	s.calls.Add(1)
	defer s.calls.Add(-1)
	head, body, err := s.receive(stream)
	if errors.Is(err, errBodyTooLarge) {
		return stream.Send(&peerv1.AnswerFrame{Trailer: &peerv1.AnswerTrailer{
			Verdict: int32(verdict.NotRun), Reason: string(verdict.BodyTooLarge),
		}})
	}
	if err != nil {
		return err
	}
	sink := newStreamSink(stream, s.opts.ProgressInterval)
	source := Bytes(body)
	if head.BodyOnAdmission {
		source = func() ([]byte, error) { return s.requestBody(stream, sink) }
	}
	trailer := run(stream.Context(), head, source, sink)
	trailer.Detail = boundDetail(trailer.Detail)
	if err := sink.end(&peerv1.AnswerFrame{Trailer: trailer}); err != nil {
		return err
	}
	if !head.Idempotent {
		s.awaitAcknowledgement(stream, head.Attempt)
	}
	return nil
}

// awaitAcknowledgement waits until the accepting node closes its side of the stream, which it does after it has received
// the trailer.
func (s *service) awaitAcknowledgement(stream serverStream, attempt string) {
	if _, err := stream.Recv(); errors.Is(err, io.EOF) {
		s.handler.ResponseAcknowledged(attempt)
	}
}

var (
	errNoHead       = errors.New("peer: the first frame has no head")
	errBodyTooLarge = errors.New("peer: request body over the limit")
)

// requestBody requests the body of an admitted attempt from the accepting node and receives it.
func (s *service) requestBody(stream serverStream, sink *streamSink) ([]byte, error) {
	if err := sink.proceed(); err != nil {
		return nil, err
	}
	return s.receiveBody(stream, new(peerv1.ForwardFrame))
}

func (s *service) receive(stream serverStream) (*peerv1.ForwardHead, []byte, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	if frame.Head == nil {
		return nil, nil, errNoHead
	}
	decodeForwardHead(frame.Head)
	if frame.Head.BodyOnAdmission {
		return frame.Head, nil, nil
	}
	body, err := s.receiveBody(stream, frame)
	return frame.Head, body, err
}

// receiveBody receives the body whose first piece is in frame.
func (s *service) receiveBody(stream serverStream, frame *peerv1.ForwardFrame) ([]byte, error) {
	body := frame.Body
	for !frame.End {
		var err error
		if frame, err = stream.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(body)+len(frame.Body) > s.maxBody {
			return nil, errBodyTooLarge
		}
		body = append(body, frame.Body...)
	}
	return body, nil
}
