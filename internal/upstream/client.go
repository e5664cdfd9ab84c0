package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/watchdog"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is short, so that a connection that went silent while idle is seldom used again.
	idleConnTimeout    = 5 * time.Second
	maxIdlePerUpstream = 64
	copyBufferBytes    = 32 << 10
)

// errStalled ends an attempt whose upstream makes no progress in time. Time in which the answer waits for its receiver
// does not count.
var errStalled = errors.New("upstream: no progress in time")

// copyBuffers are reused, because a buffer for each answer was a third of the bytes that a request allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Client runs requests at upstreams over HTTP/1.1.
type Client struct {
	dialect dialect.Upstream
	reusing *http.Transport
	fresh   *http.Transport
}

// NewClient returns a client that accepts response heads of up to maxHeaderBytes.
func NewClient(maxHeaderBytes int64, names dialect.Upstream) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	reusing := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	fresh := reusing.Clone()
	// A non-idempotent request gets a connection of its own: on a reused one, an idle connection that the upstream
	// just closed could not be told from an upstream lost while it ran the request. It costs about 1 ms.
	fresh.DisableKeepAlives = true
	return &Client{dialect: names, reusing: reusing, fresh: fresh}
}

// Close closes idle connections.
func (c *Client) Close() { c.reusing.CloseIdleConnections() }

// Run sends the request to the upstream at address and passes the answer to sink. It never sends a request twice. The
// context carries the deadline.
func (c *Client) Run(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink) Result {
	started := time.Now()
	state := new(connState)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := watchdog.New(time.Duration(head.ProgressTimeoutMs)*time.Millisecond, func() { cancel(errStalled) })
	defer stall.Stop()
	req, err := c.newRequest(ctx, state, address, head, body)
	if err != nil {
		return Result{Outcome: Unreachable, Err: err}
	}
	stall.Start()
	res, err := c.transport(head).RoundTrip(req)
	stall.Stop()
	if err != nil {
		return c.failed(ctx, state, err)
	}
	defer res.Body.Close()
	result := Result{Status: res.StatusCode, FirstByte: time.Since(started), Reused: state.reused}
	result.RetryAfter = ParseRetryAfter(res.Header.Get("Retry-After"), time.Now())
	if c.isForeign(req, res) {
		result.Outcome = Lost
		result.Err = errors.New("upstream: the answer belongs to another request")
		// The connection has an answer too many, so it is not used again.
		cancel(nil)
		return result
	}
	if c.notRun(res) {
		result.Outcome = Shed
		return result
	}
	if res.StatusCode < http.StatusMultipleChoices && c.isUnsigned(res) {
		result.Outcome = Incomplete
		result.Err = errors.New("upstream: the answer is not signed by the upstream")
		return result
	}
	c.pass(ctx, res, sink, stall, &result)
	return result
}

func (c *Client) transport(head *peerv1.ForwardHead) *http.Transport {
	if head.Idempotent {
		return c.reusing
	}
	return c.fresh
}

// connState records whether the request was given a connection. Without one it was not sent.
type connState struct {
	got    bool
	reused bool
}

func (c *Client) newRequest(ctx context.Context, state *connState, address string, head *peerv1.ForwardHead, body []byte) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			state.got = true
			state.reused = info.Reused
		},
	})
	// The body has no GetBody, and is never nil for a non-idempotent request. Otherwise the transport would resend a
	// request with an Idempotency-Key header on its own when a connection breaks.
	var reader io.Reader
	if len(body) > 0 || !head.Idempotent {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, head.Method, "http://"+address, reader)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: request")
	}
	// An opaque URL is sent as it is, so that the upstream gets the path and query of the caller to the byte.
	req.URL.Opaque = head.Uri
	req.ContentLength = int64(len(body))
	req.Host = head.Host
	for _, h := range head.Headers {
		req.Header[h.Name] = append(req.Header[h.Name], h.Value)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	setHeader(req, c.dialect.AttemptHeader, head.Attempt)
	setHeader(req, c.dialect.InstanceHeader, head.Target)
	if deadline, ok := ctx.Deadline(); ok {
		setHeader(req, c.dialect.TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// setHeader sets a header that the dialect may leave out.
func setHeader(req *http.Request, name, value string) {
	if name != "" {
		req.Header.Set(name, value)
	}
}

// failed classifies an error before the head of the answer.
func (c *Client) failed(ctx context.Context, state *connState, err error) Result {
	result := Result{Reused: state.reused, Err: err}
	switch {
	case !state.got && ctx.Err() == nil:
		result.Outcome = Unreachable
		result.Refused = errors.Is(err, syscall.ECONNREFUSED)
	case !state.got:
		result.Outcome = Unreachable
		result.Err = ctx.Err()
	case timedOut(ctx):
		result.Outcome = TimedOut
	case ctx.Err() != nil:
		result.Outcome = Cancelled
	default:
		result.Outcome = Lost
	}
	if state.reused {
		// Other idle connections may be as dead as this one.
		c.reusing.CloseIdleConnections()
	}
	return result
}

// pass copies the answer to the sink.
func (c *Client) pass(ctx context.Context, res *http.Response, sink peer.Sink, stall *watchdog.Timer, result *Result) {
	if !c.dialect.EndByClose && !hasKnownEnd(res) {
		result.Outcome = Incomplete
		result.Err = errors.New("upstream: the answer has neither a length nor chunks, so its end cannot be told")
		return
	}
	head := &peerv1.AnswerHead{
		Status: int32(res.StatusCode), Headers: c.answerHeaders(res.Header), ContentLength: res.ContentLength,
	}
	if err := sink.Head(head); err != nil {
		result.Outcome, result.Err = SinkFailed, err
		return
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	buf := buffer[:]
	for {
		stall.Start()
		n, err := res.Body.Read(buf)
		stall.Stop()
		if n > 0 {
			result.Bytes += int64(n)
			if err := sink.Body(buf[:n]); err != nil {
				result.Outcome, result.Err = SinkFailed, err
				return
			}
		}
		if errors.Is(err, io.EOF) {
			result.Outcome = Answered
			return
		}
		if err != nil {
			result.Outcome, result.Err = brokenOff(ctx), err
			return
		}
	}
}

// timedOut reports whether the context ended because its deadline passed or the upstream made no progress.
func timedOut(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errStalled)
}

// brokenOff classifies an error after the head of the answer.
func brokenOff(ctx context.Context) Outcome {
	switch {
	case timedOut(ctx):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	}
	return Incomplete
}

// hasKnownEnd reports whether the end of the body can be told from a broken connection.
func hasKnownEnd(res *http.Response) bool {
	if res.ContentLength >= 0 || res.Request.Method == http.MethodHead {
		return true
	}
	for _, encoding := range res.TransferEncoding {
		if encoding == "chunked" {
			return true
		}
	}
	return false
}

// ParseRetryAfter returns the wait that a Retry-After header asks for (RFC 9110, section 10.2.3), 0 if it is absent,
// malformed or past.
func ParseRetryAfter(value string, now time.Time) time.Duration {
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseInt(value, 10, 32); err == nil {
		return max(0, time.Duration(seconds)*time.Second)
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
