package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// maxIdleConnsPerNode is the number of idle connections that a client keeps open to each node.
const maxIdleConnsPerNode = 64

// Client sends requests to nodes as a caller does. It checks that each response belongs to its request.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool. It never retries.
func NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerNode, DisableCompression: true}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one request of a caller.
type Request struct {
	// Path begins with the path of a service's route.
	Path string
	// Token identifies the request in its response. Each request has a different token.
	Token string
	// Size is the size of the requested body in bytes.
	Size int64
	// Key and Ticket are the idempotency key and the operation ticket, empty for none.
	Key    string
	Ticket string
	// Poison makes the upstream that runs the request crash.
	Poison bool
	// Work is how long the upstream processes the request.
	Work time.Duration
	// Timeout is the request timeout that the caller sends, 0 for the timeout of the route.
	Timeout time.Duration
	// OnFirstBytes is called when the first bytes of the response body have arrived, before the rest is read.
	OnFirstBytes func()
}

// Fetch gets a body of r.Size bytes through the node at host:port.
func (c *Client) Fetch(ctx context.Context, node string, r Request) Answer {
	url := fmt.Sprintf("http://%s%s?bytes=%d", node, r.Path, r.Size)
	return c.do(ctx, http.MethodGet, url, "", r, func(body io.Reader) (int64, error) {
		return fakeupstream.VerifyContent(body, r.Token, r.Size)
	})
}

// RunOperation runs the operation named by r.Token through the node at host:port.
func (c *Client) RunOperation(ctx context.Context, node string, r Request) Answer {
	body := fmt.Sprintf(`{"operation":%q}`, r.Token)
	return c.do(ctx, http.MethodPost, "http://"+node+r.Path, body, r, func(response io.Reader) (int64, error) {
		return verifyOperation(response, r.Token)
	})
}

// Ticket gets an operation ticket from the node at host:port.
func (c *Client) Ticket(ctx context.Context, node string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+ticketPath, nil)
	if err != nil {
		return "", errors.Wrap(err, "ticket")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", errors.Wrap(err, "ticket")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		return "", errors.Errorf("ticket: status %d, %s, %v", response.StatusCode, body, err)
	}
	if ticket := response.Header.Get(headerTicket); ticket != "" {
		return ticket, nil
	}
	return strings.TrimSpace(string(body)), nil
}

// ticketPath is the path at which a node issues operation tickets.
const ticketPath = "/_sardinereach/ticket"

// do sends one request. verify reads the body of an upstream's response to its end.
func (c *Client) do(ctx context.Context, method, url, body string, r Request, verify func(io.Reader) (int64, error)) Answer {
	started := time.Now()
	request, err := newRequest(ctx, method, url, body, r)
	if err != nil {
		return Answer{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{Err: errors.Wrap(err, "no response"), Elapsed: time.Since(started)}
	}
	defer response.Body.Close()
	answer := answerFromHeaders(response)
	if answer.Verdict == Ran && response.StatusCode == http.StatusOK {
		answer.Bytes, answer.Err = verify(withOnFirstBytes(response.Body, r.OnFirstBytes))
		answer.Complete = answer.Err == nil
		if got := response.Header.Get(fakeupstream.HeaderRequest); got != r.Token {
			answer.Complete = false
			answer.Err = errors.Errorf("response to request %q; want %q", got, r.Token)
		}
	} else {
		answer.Bytes, answer.Err = io.Copy(io.Discard, response.Body)
	}
	answer.Elapsed = time.Since(started)
	return answer
}

func newRequest(ctx context.Context, method, url, body string, r Request) (*http.Request, error) {
	// Without GetBody the transport cannot retry a request that has a body.
	var reader io.Reader
	if body != "" {
		reader = io.NopCloser(strings.NewReader(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(fakeupstream.HeaderRequest, r.Token)
	setUnlessEmpty(request, headerKey, r.Key)
	setUnlessEmpty(request, headerTicket, r.Ticket)
	if r.Poison {
		request.Header.Set(fakeupstream.HeaderPoison, "1")
	}
	if r.Work > 0 {
		request.Header.Set(fakeupstream.HeaderWorkMS, fmt.Sprint(r.Work.Milliseconds()))
	}
	if r.Timeout > 0 {
		request.Header.Set(headerTimeout, fmt.Sprint(r.Timeout.Milliseconds()))
	}
	return request, nil
}

func setUnlessEmpty(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func answerFromHeaders(response *http.Response) Answer {
	return Answer{
		Status:   response.StatusCode,
		Verdict:  response.Header.Get(headerVerdict),
		Reason:   response.Header.Get(headerReason),
		Attempt:  response.Header.Get(headerAttempt),
		Replayed: response.Header.Get(headerReplay) != "",
		Target:   response.Header.Get(fakeupstream.HeaderTarget),
	}
}

// verifyOperation reads the response to an operation and checks that it belongs to the operation.
func verifyOperation(body io.Reader, operation string) (int64, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return int64(len(data)), errors.Wrap(err, "truncated response")
	}
	var answer fakeupstream.OperationAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return int64(len(data)), errors.Wrap(err, "response to an operation")
	}
	if answer.Operation != operation || answer.Request != operation {
		return int64(len(data)), errors.Errorf("response to operation %q; want %q", answer.Operation, operation)
	}
	return int64(len(data)), nil
}
