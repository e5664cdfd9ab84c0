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
	if !head.BodyOnAdmission {
		if err := x.endSending(head); err != nil {
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
		if frame.Proceed {
			if err := x.sendBody(head, body); err != nil {
				return nil, err
			}
		}
		if err := x.deliver(frame); err != nil {
			return nil, err
		}
		if frame.Trailer != nil {
			return frame.Trailer, nil
		}
	}
}

// endSending ends the client's side of an idempotent attempt. The end goes out with the request, so that the connection is
// free right after the answer. For a non-idempotent attempt it is the confirmation of the answer.
func (x *exchange) endSending(head *peerv1.ForwardHead) error {
	if !head.Idempotent {
		return nil
	}
	return x.stream.CloseSend()
}

// sendBody sends the body of an attempt that was admitted without it.
func (x *exchange) sendBody(head *peerv1.ForwardHead, body []byte) error {
	if err := x.sendFrom(new(peerv1.ForwardFrame), body); err != nil {
		return err
	}
	return x.endSending(head)
}

func (x *exchange) send(head *peerv1.ForwardHead, body []byte) error {
	if head.BodyOnAdmission {
		x.watchdog.Start()
		defer x.watchdog.Stop()
		return x.stream.Send(&peerv1.ForwardFrame{Head: head})
	}
	return x.sendFrom(&peerv1.ForwardFrame{Head: head}, body)
}

// sendFrom sends the frame with the beginning of the body, and the rest after it.
func (x *exchange) sendFrom(frame *peerv1.ForwardFrame, body []byte) error {
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
