package peer

import (
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// streamSink sends a response to the accepting node. Frames are buffered for a short time. While there is nothing to
// send, progress frames show that the connection still works.
type streamSink struct {
	stream   serverStream
	flusher  flusher
	interval time.Duration

	mu        sync.Mutex
	timer     *time.Timer
	unflushed bool
	ended     bool
}

// flusher is implemented by the streams of drpc.
type flusher interface {
	RawFlush() error
}

func newStreamSink(stream serverStream, interval time.Duration) *streamSink {
	s := &streamSink{stream: stream, flusher: flusherOf(stream), interval: interval}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(interval, s.tick)
	return s
}

func flusherOf(stream drpc.Stream) flusher {
	if f, ok := underlying(stream).(flusher); ok {
		return f
	}
	return noFlusher{}
}

// underlying returns the drpc stream that the generated stream wraps.
func underlying(stream drpc.Stream) drpc.Stream {
	if wrapped, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		return wrapped.GetStream()
	}
	return stream
}

// noFlusher is the flusher of a stream that flushes every message itself.
type noFlusher struct{}

func (noFlusher) RawFlush() error { return nil }

// tick flushes the buffered frames, or sends a progress frame if there are none.
func (s *streamSink) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if !s.unflushed {
		// A failure needs no handling here: the next frame of the response fails as well, and the context is cancelled.
		if s.stream.Send(&peerv1.AnswerFrame{}) != nil {
			return
		}
	}
	s.unflushed = false
	if s.flusher.RawFlush() == nil {
		s.timer.Reset(s.interval)
	}
}

func (s *streamSink) send(frame *peerv1.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.Send(frame); err != nil {
		return err
	}
	if !s.unflushed {
		s.unflushed = true
		s.timer.Reset(flushDelay)
	}
	return nil
}

// end sends the last frame, which is flushed when the call ends.
func (s *streamSink) end(frame *peerv1.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	return s.stream.Send(frame)
}

// Overdue implements OverdueSink. As in tick, a failure is reported by the next frame.
func (s *streamSink) Overdue() { _ = s.sendNow(&peerv1.AnswerFrame{Overdue: true}) }

// minCutOffMS replaces a time to the cutoff that would be sent as 0, which means none.
const minCutOffMS = 1

// WillBeCutOff implements CutOffSink. As in tick, a failure is reported by the next frame.
func (s *streamSink) WillBeCutOff(in time.Duration) {
	_ = s.sendNow(&peerv1.AnswerFrame{CutOffInMs: max(in.Milliseconds(), minCutOffMS)})
}

// proceed requests the body from the accepting node.
func (s *streamSink) proceed() error { return s.sendNow(&peerv1.AnswerFrame{Proceed: true}) }

func (s *streamSink) sendNow(frame *peerv1.AnswerFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	if err := s.stream.Send(frame); err != nil {
		return err
	}
	return s.flusher.RawFlush()
}

// Head implements Sink.
func (s *streamSink) Head(head *peerv1.AnswerHead) error {
	return s.send(&peerv1.AnswerFrame{Head: encodeAnswerHead(head)})
}

// Body implements Sink.
func (s *streamSink) Body(piece []byte) error {
	return s.send(&peerv1.AnswerFrame{Body: piece})
}
