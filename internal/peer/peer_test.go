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

// echoHandler answers with the body of the request.
type echoHandler struct {
	run       func(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer
	collected chan string
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

func (h *echoHandler) Collected(attempt string) { h.collected <- attempt }

func (h *echoHandler) Lookup(*peerv1.LookupRequest) *peerv1.LookupResponse {
	return &peerv1.LookupResponse{State: peerv1.AttemptState_ATTEMPT_STATE_RUNNING}
}

func (h *echoHandler) Operation(*peerv1.OperationRequest) *peerv1.OperationResponse {
	return &peerv1.OperationResponse{}
}

func (h *echoHandler) Pull(*peerv1.PullRequest) *peerv1.PullResponse { return &peerv1.PullResponse{} }

func (h *echoHandler) Reports(*peerv1.ReportsRequest) *peerv1.ReportsResponse { return nil }

func (h *echoHandler) Warn(*peerv1.WarnRequest) {}

func echo(_ context.Context, _ *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer {
	if sink.Head(&peerv1.AnswerHead{Status: 200, ContentLength: int64(len(body))}) != nil || sink.Body(body) != nil {
		return &peerv1.AnswerTrailer{Verdict: int32(verdict.MayHaveRun)}
	}
	return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), TotalBytes: int64(len(body))}
}

// countingListener counts the connections and can hold back what they deliver.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
	silent   atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
		c = &mutedConn{Conn: c, silent: &l.silent}
	}
	return c, err
}

// mutedConn drops what it is given to write once it is silent, as a path does that has lost track of the connection.
type mutedConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *mutedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
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
	if handler.collected == nil {
		handler.collected = make(chan string, 1000)
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

// Guards against a connection that is closed after each request: drpc closes the transport when a call is left before
// both sides have ended it, which cost a dial and a Hello for every request.
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

// Guards against an answer that reaches another request, on connections that carry one request after the other.
func TestConcurrentAnswersBelongToTheirRequests(t *testing.T) {
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

// Guards against a held answer that is never freed, and against one that is freed before it was received.
func TestNonIdempotentAnswersAreConfirmed(t *testing.T) {
	handler := &echoHandler{run: echo}
	listener, client := serve(t, handler, Options{})
	if _, _, err := forward(t, client, listener.Addr().String(), "once", false, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if got := <-handler.collected; got != "once" {
		t.Errorf("confirmed %q, want %q", got, "once")
	}
	if _, _, err := forward(t, client, listener.Addr().String(), "again", true, []byte("x")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-handler.collected:
		t.Errorf("an idempotent attempt %q was confirmed", got)
	default:
	}
}

// Guards against a request that waits for ever on a connection that has gone silent, and against a slow upstream being
// taken for a silent connection.
func TestSilentConnectionIsToldFromASlowAnswer(t *testing.T) {
	release := make(chan struct{})
	handler := &echoHandler{run: func(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink Sink) *peerv1.AnswerTrailer {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return echo(ctx, head, body, sink)
	}}
	opts := Options{Silence: 300 * time.Millisecond, Progress: 20 * time.Millisecond}
	listener, client := serve(t, handler, opts)
	time.AfterFunc(3*opts.Silence, func() { close(release) })
	if _, _, err := forward(t, client, listener.Addr().String(), "slow", true, []byte("x")); err != nil {
		t.Fatalf("slow answer: %v", err)
	}
	listener.silent.Store(true)
	_, _, err := forward(t, client, listener.Addr().String(), "silent", true, []byte("x"))
	var failed *ForwardError
	if !errors.As(err, &failed) || !failed.Sent || !failed.Silent {
		t.Errorf("silent connection: %v, want a silent failure after sending", err)
	}
}

// Guards against a request on an idle connection that has gone silent: it must be checked before it carries a request.
func TestIdleConnectionIsCheckedFirst(t *testing.T) {
	opts := Options{IdleCheck: time.Nanosecond, CallTimeout: 200 * time.Millisecond}
	listener, client := serve(t, &echoHandler{run: echo}, opts)
	if _, _, err := forward(t, client, listener.Addr().String(), "first", true, nil); err != nil {
		t.Fatal(err)
	}
	listener.silent.Store(true)
	_, _, err := forward(t, client, listener.Addr().String(), "second", false, nil)
	var failed *ForwardError
	if !errors.As(err, &failed) || failed.Sent {
		t.Errorf("got %v, want a failure before the request was sent", err)
	}
	listener.silent.Store(false)
	if _, _, err := forward(t, client, listener.Addr().String(), "third", false, nil); err != nil {
		t.Errorf("after the path has recovered: %v", err)
	}
}

// Guards against a body over the limit being taken in.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	listener, client := serve(t, &echoHandler{run: echo}, Options{})
	_, trailer, err := forward(t, client, listener.Addr().String(), "large", true, make([]byte, 2<<20))
	if err != nil || verdict.Reason(trailer.Reason) != verdict.BodyTooLarge || verdict.Verdict(trailer.Verdict) != verdict.NotRun {
		t.Errorf("got %v, %v, want a refusal for %s", trailer, err, verdict.BodyTooLarge)
	}
}
