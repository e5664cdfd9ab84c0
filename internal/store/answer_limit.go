package store

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// MaxHeadBytes bounds the head of an answer of a store.
	MaxHeadBytes = 64 << 10
	// largeAnswerBytes is the size from which an answer is large. Large answers are read one at a time.
	largeAnswerBytes = 1 << 20
)

// ErrAnswerTooLarge is the error of reading an answer beyond its size limit.
var ErrAnswerTooLarge = errors.New("store: the answer is too large")

// LimitAnswers returns a transport whose answers have bodies of at most maxBytes. A store that answers without end on all
// connections of a node could fill its memory otherwise: only one answer at a time is read beyond largeAnswerBytes.
func LimitAnswers(next http.RoundTripper, maxBytes int64) http.RoundTripper {
	return newAnswerLimiter(next, maxBytes)
}

func newAnswerLimiter(next http.RoundTripper, maxBytes int64) *answerLimiter {
	return &answerLimiter{next: next, maxBytes: maxBytes, large: make(chan struct{}, 1)}
}

type answerLimiter struct {
	next     http.RoundTripper
	maxBytes int64
	// large has a message while a large answer is read.
	large chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (l *answerLimiter) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > l.maxBytes {
		_ = response.Body.Close()
		return nil, ErrAnswerTooLarge
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		response.Body = &limitedBody{ReadCloser: response.Body, ctx: request.Context(), limiter: l}
	}
	return response, nil
}

// CloseIdleConnections closes those of the transport, for http.Client.
func (l *answerLimiter) CloseIdleConnections() {
	if closer, ok := l.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// limitedBody is the body of an answer. Like any body it is read by one goroutine.
type limitedBody struct {
	io.ReadCloser
	ctx     context.Context
	limiter *answerLimiter
	read    int64
	// large means that this is the large answer that is being read.
	large bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.read >= largeAnswerBytes && !b.large {
		if err := b.waitForTurn(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > b.limiter.maxBytes {
		return 0, ErrAnswerTooLarge
	}
	return n, err
}

// waitForTurn waits until no other large answer is read.
func (b *limitedBody) waitForTurn() error {
	over := waiting(b.ctx)
	defer over()
	select {
	case b.limiter.large <- struct{}{}:
		b.large = true
		return nil
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	if b.large {
		b.large = false
		<-b.limiter.large
	}
	return b.ReadCloser.Close()
}
