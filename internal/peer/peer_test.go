package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler passes each request to run.
type echoHandler struct {
	run          func(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer
	acknowledged chan string
	// answer is the head in the responses to Lookup and Operation.
	answer *peerv1.AnswerHead
}

func (h *echoHandler) Hello(*peerv1.HelloRequest) *peerv1.HelloResponse {
	return &peerv1.HelloResponse{Node: "n", Incarnation: 7, ClockMs: 1000}
}

func (h *echoHandler) Forward(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer {
	return h.runWith(ctx, head, body, sink)
}

func (h *echoHandler) Redeem(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer {
	return h.runWith(ctx, head, body, sink)
}

func (h *echoHandler) runWith(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer {
	data, err := body()
	if err != nil {
		return &peerv1.AnswerTrailer{Verdict: int32(verdict.NotRun)}
	}
	return h.run(ctx, head, data, sink)
}

func (h *echoHandler) ResponseAcknowledged(attempt string) { h.acknowledged <- attempt }

func (h *echoHandler) Lookup(*peerv1.LookupRequest) *peerv1.LookupResponse {
	return &peerv1.LookupResponse{State: peerv1.AttemptState_ATTEMPT_STATE_RUNNING, Head: h.answer}
}

func (h *echoHandler) Operation(*peerv1.OperationRequest) *peerv1.OperationResponse {
	return &peerv1.OperationResponse{Head: h.answer}
}

func (h *echoHandler) Pull(*peerv1.PullRequest) *peerv1.PullResponse { return &peerv1.PullResponse{} }

func (h *echoHandler) Chunks(*peerv1.ChunksRequest) *peerv1.ChunksResponse {
	return &peerv1.ChunksResponse{}
}

func (h *echoHandler) Reports(*peerv1.ReportsRequest) *peerv1.ReportsResponse { return nil }

func (h *echoHandler) Warn(*peerv1.WarnRequest) {}

func (h *echoHandler) Stopping(*peerv1.StoppingRequest) {}

func (h *echoHandler) Quota(*peerv1.QuotaRequest) *peerv1.QuotaResponse {
	return &peerv1.QuotaResponse{}
}

func echo(_ context.Context, _ *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer {
	if sink.Head(&peerv1.AnswerHead{Status: 200, ContentLength: int64(len(body))}) != nil || sink.Body(body) != nil {
		return &peerv1.AnswerTrailer{Verdict: int32(verdict.MayHaveRun)}
	}
	return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), TotalBytes: int64(len(body))}
}

// countingListener counts the accepted connections and can discard what they send.
type countingListener struct {
	net.Listener
	accepted   atomic.Int32
	blackholed atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
		c = &blackholeConn{Conn: c, blackholed: &l.blackholed}
	}
	return c, err
}

// blackholeConn discards writes while blackholed is set, like a network path that has dropped its state for the
// connection.
type blackholeConn struct {
	net.Conn
	blackholed *atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

type bufferSink struct {
	head *peerv1.AnswerHead
	body bytes.Buffer
}

func (s *bufferSink) Head(head *peerv1.AnswerHead) error {
	s.head = head
	return nil
}

func (s *bufferSink) Body(p []byte) error {
	s.body.Write(p)
	return nil
}

func serve(t *testing.T, handler *echoHandler, opts Options) (*countingListener, *Client) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	if handler.acknowledged == nil {
		handler.acknowledged = make(chan string, 1000)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(handler, 1<<20, opts).Serve(ctx, listener) }()
	client := NewClient("c", opts)
	t.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	})
	return listener, client
}

func forward(t *testing.T, c *Client, address, attempt string, idempotent bool, body []byte) (*bufferSink, *peerv1.AnswerTrailer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	head := &peerv1.ForwardHead{Attempt: attempt, Idempotent: idempotent, TimeoutMs: 10_000}
	sink := new(bufferSink)
	trailer, err := c.Forward(ctx, address, head, body, sink)
	return sink, trailer, err
}

// Guards against a new connection for every request: drpc closes the transport when a call is abandoned before both
// sides have closed it, which cost a dial and a Hello per request.
func TestConnectionsAreReused(t *testing.T) {
	listener, client := serve(t, &echoHandler{run: echo}, Options{})
	for i := range 50 {
		body := bytes.Repeat([]byte{byte(i)}, i*4000)
		sink, trailer, err := forward(t, client, listener.Addr().String(), fmt.Sprint(i), true, body)
		if err != nil || trailer.TotalBytes != int64(len(body)) || !bytes.Equal(sink.body.Bytes(), body) {
			t.Fatalf("request %d: %v, %d bytes of %d", i, err, sink.body.Len(), len(body))
		}
	}
	if n := listener.accepted.Load(); n != 1 {
		t.Errorf("50 requests in a row took %d connections, want 1", n)
	}
}

// Guards against a response that is delivered to the wrong request when a connection is reused.
func TestConcurrentResponsesMatchTheirRequests(t *testing.T) {
	listener, client := serve(t, &echoHandler{run: echo}, Options{})
	var wg sync.WaitGroup
	for g := range 16 {
		wg.Go(func() {
			for i := range 20 {
				want := fmt.Sprintf("request %d/%d", g, i)
				sink, _, err := forward(t, client, listener.Addr().String(), want, i%2 == 0, []byte(want))
				if err != nil || sink.body.String() != want {
					t.Errorf("%s: got %q, %v", want, sink.body.String(), err)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a retained response that is never freed, and against one that is freed before it was received.
func TestNonIdempotentResponsesAreAcknowledged(t *testing.T) {
	handler := &echoHandler{run: echo}
	listener, client := serve(t, handler, Options{})
	if _, _, err := forward(t, client, listener.Addr().String(), "once", false, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if got := <-handler.acknowledged; got != "once" {
		t.Errorf("acknowledged %q, want %q", got, "once")
	}
	if _, _, err := forward(t, client, listener.Addr().String(), "again", true, []byte("x")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-handler.acknowledged:
		t.Errorf("an idempotent attempt %q was acknowledged", got)
	default:
	}
}

// Guards against a request that waits forever on a connection that no longer delivers frames, and against a frame
// timeout while a slow upstream has not responded yet.
func TestFrameTimeoutIgnoresSlowResponses(t *testing.T) {
	release := make(chan struct{})
	handler := &echoHandler{run: func(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return echo(ctx, head, body, sink)
	}}
	opts := Options{FrameTimeout: 300 * time.Millisecond, ProgressInterval: 20 * time.Millisecond}
	listener, client := serve(t, handler, opts)
	time.AfterFunc(3*opts.FrameTimeout, func() { close(release) })
	if _, _, err := forward(t, client, listener.Addr().String(), "slow", true, []byte("x")); err != nil {
		t.Fatalf("slow response: %v", err)
	}
	listener.blackholed.Store(true)
	_, _, err := forward(t, client, listener.Addr().String(), "silent", true, []byte("x"))
	var failed *ForwardError
	if !errors.As(err, &failed) || !failed.Sent || !failed.FrameTimedOut {
		t.Errorf("blackholed connection: %v, want a frame timeout after sending", err)
	}
}

// Guards against a request being sent on an idle connection that no longer delivers frames. Such a connection must be
// checked before it carries a request.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	opts := Options{IdleCheckAfter: time.Nanosecond, CallTimeout: 200 * time.Millisecond}
	listener, client := serve(t, &echoHandler{run: echo}, opts)
	if _, _, err := forward(t, client, listener.Addr().String(), "first", true, nil); err != nil {
		t.Fatal(err)
	}
	listener.blackholed.Store(true)
	_, _, err := forward(t, client, listener.Addr().String(), "second", false, nil)
	var failed *ForwardError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("got %v, want a failure before the request was sent", err)
	}
	listener.blackholed.Store(false)
	if _, _, err := forward(t, client, listener.Addr().String(), "third", false, nil); err != nil {
		t.Errorf("after the path recovered: %v", err)
	}
}

// Guards against accepting a body that exceeds the limit.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	listener, client := serve(t, &echoHandler{run: echo}, Options{})
	_, trailer, err := forward(t, client, listener.Addr().String(), "large", true, make([]byte, 2<<20))
	if err != nil || verdict.Reason(trailer.Reason) != verdict.BodyTooLarge || verdict.Verdict(trailer.Verdict) != verdict.NotRun {
		t.Errorf("got %v, %v, want a refusal for %s", trailer, err, verdict.BodyTooLarge)
	}
}
