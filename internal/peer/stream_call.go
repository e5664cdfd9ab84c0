package peer

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/watchdog"
)

// streamCall is one request and its response on a stream.
type streamCall struct {
	stream       frameStream
	sink         Sink
	watchdog     *watchdog.Timer
	encoding     frameEncoding
	headReceived bool
}

func (c *streamCall) run(head *peerv1.ForwardHead, body []byte) (*peerv1.AnswerTrailer, error) {
	if err := c.send(head, body); err != nil {
		return nil, err
	}
	if !head.BodyOnAdmission {
		if err := c.endSending(head); err != nil {
			return nil, err
		}
	}
	for {
		c.watchdog.Start()
		frame := new(peerv1.AnswerFrame)
		err := c.stream.MsgRecv(frame, &c.encoding)
		c.watchdog.Stop()
		if err != nil {
			return nil, err
		}
		if frame.Proceed {
			if err := c.sendBody(head, body); err != nil {
				return nil, err
			}
		}
		if err := c.deliver(frame); err != nil {
			return nil, err
		}
		if frame.Trailer != nil {
			return frame.Trailer, nil
		}
	}
}

// endSending closes the client's side of the stream of an idempotent attempt. The close is sent together with the
// request, so that the connection can be reused as soon as the response is complete. A non-idempotent attempt leaves its
// side open, because closing it acknowledges the response.
func (c *streamCall) endSending(head *peerv1.ForwardHead) error {
	if !head.Idempotent {
		return nil
	}
	return c.stream.CloseSend()
}

// sendBody sends the body of an attempt that was admitted before its body was sent.
func (c *streamCall) sendBody(head *peerv1.ForwardHead, body []byte) error {
	if err := c.sendFrom(new(peerv1.ForwardFrame), body); err != nil {
		return err
	}
	return c.endSending(head)
}

func (c *streamCall) send(head *peerv1.ForwardHead, body []byte) error {
	if head.BodyOnAdmission {
		c.watchdog.Start()
		defer c.watchdog.Stop()
		return c.stream.Send(&peerv1.ForwardFrame{Head: encodeForwardHead(head)})
	}
	return c.sendFrom(&peerv1.ForwardFrame{Head: encodeForwardHead(head)}, body)
}

// sendFrom sends the frame with the first piece of the body, and the other pieces in frames of their own.
func (c *streamCall) sendFrom(frame *peerv1.ForwardFrame, body []byte) error {
	for {
		n := min(len(body), bodyChunkBytes)
		frame.Body, body = body[:n], body[n:]
		frame.End = len(body) == 0
		c.watchdog.Start()
		err := c.stream.Send(frame)
		c.watchdog.Stop()
		if err != nil || frame.End {
			return err
		}
		frame = new(peerv1.ForwardFrame)
	}
}

func (c *streamCall) deliver(frame *peerv1.AnswerFrame) error {
	if frame.Overdue {
		ReportOverdue(c.sink)
	}
	if frame.CutOffInMs > 0 {
		ReportCutOff(c.sink, time.Duration(frame.CutOffInMs)*time.Millisecond)
	}
	if frame.Head != nil {
		c.headReceived = true
		decodeAnswerHead(frame.Head)
		if err := c.sink.Head(frame.Head); err != nil {
			return err
		}
	}
	if len(frame.Body) > 0 {
		return c.sink.Body(frame.Body)
	}
	return nil
}
