package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/watchdog"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is short, so that a connection that failed unnoticed while idle is rarely reused.
	idleConnTimeout    = 5 * time.Second
	maxIdlePerUpstream = 64
	copyBufferBytes    = 32 << 10
)

// errNoProgress ends an attempt whose upstream makes no progress within the progress timeout of the request. Time spent
// writing the response to the sink does not count.
var errNoProgress = errors.New("upstream: no progress in time")

// copyBuffers avoids allocating a buffer for each response, which was a third of the bytes allocated for a request.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Client sends requests to upstreams over HTTP/1.1.
type Client struct {
	dialect   dialect.Upstream
	rules     *headers.Rules
	pooled    *http.Transport
	singleUse *http.Transport
	// echoing holds the addresses whose last response echoed the ID of its request.
	echoing sync.Map
}

// NewClient returns a client that accepts response heads of up to maxHeaderBytes.
func NewClient(maxHeaderBytes int64, names dialect.Upstream) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:            dialConn(dialer),
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	singleUse := pooled.Clone()
	// A non-idempotent request gets a new connection, which costs about 1 ms. On a reused one, an error does not show
	// whether the upstream had just closed the idle connection or was lost while it ran the request.
	singleUse.DisableKeepAlives = true
	rules := headers.NewRules(dialect.Caller{}, names)
	return &Client{dialect: names, rules: rules, pooled: pooled, singleUse: singleUse}
}

// SetCallers sets the dialect of the callers whose requests are sent, so that headers that only the fleet may read or set are
// removed. It must be called before Run.
func (c *Client) SetCallers(callers dialect.Caller) { c.rules = headers.NewRules(callers, c.dialect) }

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Run sends the request to the upstream at address and writes the response to sink. It never sends a request twice. The
// deadline of the request is that of ctx.
func (c *Client) Run(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink) Result {
	started := time.Now()
	state := new(connState)
	defer state.release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progressTimer := watchdog.New(time.Duration(head.ProgressTimeoutMs)*time.Millisecond, func() { cancel(errNoProgress) })
	defer progressTimer.Stop()
	progressTimer.Start()
	req, res, err := c.send(ctx, state, address, head, body)
	progressTimer.Stop()
	if err != nil {
		return c.classifyError(ctx, state, err)
	}
	defer res.Body.Close()
	result := Result{Status: res.StatusCode, FirstByte: time.Since(started), Reused: state.reused, Received: true}
	if err := state.headFault(); err != nil && !state.premature.Load() {
		// Nothing in the head is believed, not even that the request did not run.
		result.Outcome, result.Err = Incomplete, err
		state.discard()
		return result
	}
	result.RetryAfter = ParseRetryAfter(res.Header.Get("Retry-After"), time.Now())
	c.recordEcho(address, res)
	if state.premature.Load() || c.mayBelongToOtherRequest(req, res, state.reused) {
		result.Outcome = Lost
		result.Err = errors.New("upstream: the answer belongs to another request")
		state.discard()
		return result
	}
	if c.declaresNotRun(res) {
		result.Outcome = Shed
		// A faulty upstream may write the refusal once more in place of a later answer on the connection.
		state.discard()
		return result
	}
	if res.StatusCode < http.StatusMultipleChoices && c.lacksSignature(res) {
		result.Outcome = Incomplete
		result.Err = errors.New("upstream: the answer is not signed by the upstream")
		state.discard()
		return result
	}
	if res.StatusCode < http.StatusOK {
		// The transport hands over the connection of status 101 as the body, whose reads do not end with the context.
		result.Outcome = Incomplete
		result.Err = errors.Errorf("upstream: status %d is not that of a final answer", res.StatusCode)
		state.discard()
		return result
	}
	if slices.Contains(c.dialect.RefusalStatuses, res.StatusCode) {
		result.Outcome = Incomplete
		result.Err = errors.Errorf("upstream: status %d without the declaration that the request did not run", res.StatusCode)
		return result
	}
	if res.Body == http.NoBody {
		// http.Transport may have given the connection to the next request already.
		state.release()
	}
	c.copyResponse(ctx, state, res, sink, progressTimer, &result)
	return result
}

// send sends the request and returns it with the response. If it obtained a connection that was discarded meanwhile, the
// request was not sent, and send uses another connection.
func (c *Client) send(ctx context.Context, state *connState, address string, head *peerv1.ForwardHead, body []byte) (*http.Request, *http.Response, error) {
	for {
		req, err := c.newRequest(ctx, state, address, head, body)
		if err != nil {
			return nil, nil, err
		}
		res, err := c.transport(address, head).RoundTrip(req)
		if !state.discarded || ctx.Err() != nil {
			return req, res, err
		}
		if err == nil {
			// The connection is closed already.
			_ = res.Body.Close()
		}
		state.reset()
	}
}

func (c *Client) transport(address string, head *peerv1.ForwardHead) *http.Transport {
	if head.Idempotent && c.mayReuse(address) {
		return c.pooled
	}
	return c.singleUse
}

// mayReuse reports whether connections to the address carry more than one request: a response on a reused one has to show which
// request it belongs to.
func (c *Client) mayReuse(address string) bool {
	if !c.dialect.EchoOptional {
		return true
	}
	_, echoes := c.echoing.Load(address)
	return echoes
}

// recordEcho records whether the upstream at the address echoes the IDs of requests.
func (c *Client) recordEcho(address string, res *http.Response) {
	switch {
	case !c.dialect.EchoOptional:
	case res.Header.Get(c.dialect.EchoHeader) != "":
		c.echoing.Store(address, struct{}{})
	default:
		c.echoing.Delete(address)
	}
}

func (c *Client) newRequest(ctx context.Context, state *connState, address string, head *peerv1.ForwardHead, body []byte) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, state.trace())
	// The request has no GetBody, and the body of a non-idempotent request is never nil. Otherwise http.Transport would
	// retry a request with an Idempotency-Key header itself when its connection fails.
	var reader io.Reader
	if len(body) > 0 || !head.Idempotent {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, head.Method, "http://"+address, reader)
	if err != nil {
		return nil, errors.Wrap(err, "upstream: request")
	}
	if err := setPathAndQuery(req.URL, head.Uri); err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = head.Host
	for _, h := range head.Headers {
		if c.rules.Forwards(headers.ToUpstream, h.Name) {
			req.Header[h.Name] = append(req.Header[h.Name], h.Value)
		}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	setHeader(req, c.dialect.AttemptHeader, head.Attempt)
	setHeader(req, c.dialect.InstanceHeader, head.Target)
	if head.Account != "" {
		setHeader(req, c.dialect.AccountHeader, head.Account)
	}
	if deadline, ok := ctx.Deadline(); ok {
		setHeader(req, c.dialect.TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// setHeader sets a header unless its name is empty, which means that the dialect does not use it.
func setHeader(req *http.Request, name, value string) {
	if name != "" {
		req.Header.Set(name, value)
	}
}

// classifyError classifies an error that occurred before the head of the response was received.
func (c *Client) classifyError(ctx context.Context, state *connState, err error) Result {
	result := Result{Reused: state.reused, Received: state.received.Load(), Err: err}
	switch {
	case !state.obtained && ctx.Err() == nil:
		result.Outcome = Unreachable
		result.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	case !state.obtained:
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
		// The other idle connections may have failed in the same way.
		c.pooled.CloseIdleConnections()
	}
	return result
}

// copyResponse copies the response to the sink and sets the outcome.
func (c *Client) copyResponse(ctx context.Context, state *connState, res *http.Response, sink peer.Sink, progressTimer *watchdog.Timer, result *Result) {
	if !c.dialect.CloseDelimitedBodies && !hasKnownEnd(res) {
		result.Outcome = Incomplete
		result.Err = errors.New("upstream: the answer has neither a length nor chunks, so its end cannot be told")
		return
	}
	head := &peerv1.AnswerHead{
		Status: int32(res.StatusCode), Headers: c.rules.Forwarded(headers.ToCaller, res.Header), ContentLength: res.ContentLength,
	}
	if err := sink.Head(head); err != nil {
		result.Outcome, result.Err = SinkFailed, err
		return
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	buf := buffer[:]
	for {
		progressTimer.Start()
		n, err := res.Body.Read(buf)
		progressTimer.Stop()
		if errors.Is(err, io.EOF) {
			err = state.endBody(res.Trailer)
		}
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
			result.Outcome, result.Err = classifyBodyError(ctx), err
			return
		}
	}
}

// timedOut reports whether the context ended because its deadline passed or the upstream made no progress.
func timedOut(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, errNoProgress)
}

// classifyBodyError classifies an error that occurred after the head of the response was received.
func classifyBodyError(ctx context.Context) Outcome {
	switch {
	case timedOut(ctx):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	}
	return Incomplete
}

// hasKnownEnd reports whether a complete body can be distinguished from one that was truncated by a lost connection.
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

// ParseRetryAfter returns the delay in a Retry-After header (RFC 9110, section 10.2.3). It returns 0 if the header is
// absent, malformed or in the past.
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
