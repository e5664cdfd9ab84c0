package store

import (
	"context"
	"io"
	"net/http"
)

// collectedBlockBytes is the size of the blocks of a large answer.
const collectedBlockBytes = 64 << 10

// collectLarge is a transport that hands out large answers once they are whole, and records the progress of all. connect collects
// an answer in a buffer that it doubles, and would have taken several times the size limit before an answer proves too large.
type collectLarge struct {
	*answerLimiter
}

// RoundTrip implements http.RoundTripper.
func (c collectLarge) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.answerLimiter.RoundTrip(request)
	if err == nil && response.StatusCode != http.StatusSwitchingProtocols {
		response.Body = &collectedBody{ReadCloser: response.Body, ctx: request.Context()}
	}
	return response, err
}

// collectedBody passes on the first largeAnswerBytes of an answer as they arrive, and the rest once it has arrived whole. Like any
// body it is read by one goroutine.
type collectedBody struct {
	io.ReadCloser
	// ctx is the context of the call.
	ctx      context.Context
	passedOn int
	// blocks are the parts of the rest that have not been handed out. err follows them, nil while the rest is not collected.
	blocks [][]byte
	err    error
}

// Read implements io.Reader.
func (b *collectedBody) Read(p []byte) (int, error) {
	if b.passedOn < largeAnswerBytes {
		n, err := b.receive(p[:min(len(p), largeAnswerBytes-b.passedOn)])
		b.passedOn += n
		return n, err
	}
	if b.err == nil {
		b.collect()
	}
	if len(b.blocks) == 0 {
		return 0, b.err
	}
	n := copy(p, b.blocks[0])
	if b.blocks[0] = b.blocks[0][n:]; len(b.blocks[0]) == 0 {
		b.blocks = b.blocks[1:]
	}
	return n, nil
}

// receive reads from the connection and records the progress of the answer.
func (b *collectedBody) receive(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		Arrived(b.ctx)
	case n > 0:
		Progress(b.ctx)
	}
	return n, err
}

// collect reads the answer to its end. Of an answer without an end nothing is kept.
func (b *collectedBody) collect() {
	for b.err == nil {
		block := make([]byte, collectedBlockBytes)
		n := 0
		for n < len(block) && b.err == nil {
			var read int
			read, b.err = b.receive(block[n:])
			n += read
		}
		if n > 0 {
			b.blocks = append(b.blocks, block[:n])
		}
	}
	if b.err != io.EOF {
		b.blocks = nil
	}
}
