package peer

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/watchdog"
)

// exchange is one request and its answer on a stream.
type exchange struct {
	stream   frameStream
	sink     Sink
	watchdog *watchdog.Timer
	headSeen bool
}

func (x *exchange) run(head *peerv1.ForwardHead, body []byte) (*peerv1.AnswerTrailer, error) {
	if err := x.send(head, body); err != nil {
		return nil, err
	}
	// The end of the client's side goes out with the request, so that the connection is free right after the answer. For
	// a non-idempotent attempt it is the confirmation of the answer.
	if head.Idempotent {
		if err := x.stream.CloseSend(); err != nil {
			return nil, err
		}
	}
	for {
		x.watchdog.Start()
		frame, err := x.stream.Recv()
		x.watchdog.Stop()
		if err != nil {
			return nil, err
		}
		if err := x.deliver(frame); err != nil {
			return nil, err
		}
		if frame.Trailer != nil {
			return frame.Trailer, nil
		}
	}
}

func (x *exchange) send(head *peerv1.ForwardHead, body []byte) error {
	frame := &peerv1.ForwardFrame{Head: head}
	for {
		n := min(len(body), bodyChunkBytes)
		frame.Body, body = body[:n], body[n:]
		frame.End = len(body) == 0
		x.watchdog.Start()
		err := x.stream.Send(frame)
		x.watchdog.Stop()
		if err != nil || frame.End {
			return err
		}
		frame = new(peerv1.ForwardFrame)
	}
}

func (x *exchange) deliver(frame *peerv1.AnswerFrame) error {
	if frame.Overdue {
		ReportOverdue(x.sink)
	}
	if frame.Head != nil {
		x.headSeen = true
		if err := x.sink.Head(frame.Head); err != nil {
			return err
		}
	}
	if len(frame.Body) > 0 {
		return x.sink.Body(frame.Body)
	}
	return nil
}
