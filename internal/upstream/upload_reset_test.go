package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/dialect"
)

const (
	longUploadBytes   = 8 << 20
	shortUploadBytes  = 256 << 10
	resetTries        = 40
	partOfAnAnswer    = "HTTP/1.1 200 OK\r\n\r\npart"
	unreadUploadLimit = 300 * time.Millisecond
	// timeToFillBuffers is usually enough for an upload to fill the buffers of both sides.
	timeToFillBuffers = 50 * time.Millisecond
	// An upload is read up to 1/readBeforeReset of its length before the reset, so that the client is in a write when it comes.
	readBeforeReset = 8
)

// untilClose returns a dialect with bodies that end with the connection, and with connections that are used again.
func untilClose() dialect.Upstream {
	return dialect.Upstream{NotRunHeader: "Not-Run", CloseDelimitedBodies: true}
}

// uploadServer calls handle with each connection and the reader of its requests.
func uploadServer(t *testing.T, handle func(c *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a request with a body of the given size.
func upload(t *testing.T, c *Client, address string, idempotent bool, size int, limit time.Duration) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	head := &peerv1.ForwardHead{Method: http.MethodPost, Uri: "/", Idempotent: idempotent}
	return c.Run(ctx, address, head, make([]byte, size), new(discardSink))
}

// resetAfterPart answers the request with a part of a body and resets the connection while the request is being written.
func resetAfterPart(c *net.TCPConn, reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, partOfAnAnswer)
	_, _ = io.CopyN(io.Discard, request.Body, request.ContentLength/readBeforeReset)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against taking a part of an answer for a complete one when the connection is reset during the upload.
func TestResetDuringTheUploadEndsNoAnswer(t *testing.T) {
	address := uploadServer(t, resetAfterPart)
	for _, size := range []int{longUploadBytes, shortUploadBytes} {
		for _, idempotent := range []bool{true, false} {
			answered := 0
			for range resetTries {
				client := NewClient(1<<20, untilClose())
				r := upload(t, client, address, idempotent, size, testLimit)
				client.Close()
				switch r.Outcome {
				case Answered:
					answered++
				case Incomplete, Lost:
				default:
					t.Errorf("%d bytes, idempotent %v: outcome %s: %v", size, idempotent, r.Outcome, r.Err)
				}
			}
			if answered > 0 {
				t.Errorf("%d bytes, idempotent %v: %d of %d cut answers were taken as complete", size, idempotent, answered, resetTries)
			}
		}
	}
}

// Guards against taking a part of an answer for a complete one on a connection that has carried another answer before.
func TestResetDuringTheUploadOnAReusedConnectionEndsNoAnswer(t *testing.T) {
	address := uploadServer(t, func(c *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, okAnswer)
		resetAfterPart(c, reader)
	})
	client := NewClient(1<<20, untilClose())
	defer client.Close()
	for range resetTries {
		if r := upload(t, client, address, true, 0, testLimit); r.Outcome != Answered {
			t.Fatalf("first request: %s %v", r.Outcome, r.Err)
		}
		r := upload(t, client, address, true, longUploadBytes, testLimit)
		if !r.Reused || r.Outcome != Incomplete && r.Outcome != Lost {
			t.Errorf("reused %v, outcome %s: %v", r.Reused, r.Outcome, r.Err)
		}
	}
}

// Guards against refusing the answer of an upstream that answers early, reads the rest of the upload and closes in order.
func TestEarlyAnswerBeforeTheEndOfTheUploadIsComplete(t *testing.T) {
	address := uploadServer(t, func(c *net.TCPConn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	})
	for _, idempotent := range []bool{true, false} {
		for range resetTries {
			client := NewClient(1<<20, untilClose())
			r := upload(t, client, address, idempotent, longUploadBytes, testLimit)
			client.Close()
			if r.Outcome != Answered || r.Bytes != int64(len("whole")) {
				t.Errorf("idempotent %v: outcome %s after %d bytes: %v", idempotent, r.Outcome, r.Bytes, r.Err)
			}
		}
	}
}

// Guards against waiting beyond the deadline for a write to an upstream that reads no more. The answer has an orderly end, so it is
// complete if no write waits at that time.
func TestUnreadUploadEndsAtTheDeadline(t *testing.T) {
	ended := make(chan struct{})
	address := uploadServer(t, func(c *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		time.Sleep(timeToFillBuffers)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.CloseWrite()
		<-ended
	})
	defer close(ended)
	for _, idempotent := range []bool{true, false} {
		client := NewClient(1<<20, untilClose())
		result := make(chan Result, 1)
		go func() { result <- upload(t, client, address, idempotent, longUploadBytes, unreadUploadLimit) }()
		select {
		case r := <-result:
			if r.Outcome != TimedOut && r.Outcome != Answered {
				t.Errorf("idempotent %v: outcome %s: %v", idempotent, r.Outcome, r.Err)
			}
			t.Logf("idempotent %v: outcome %s", idempotent, r.Outcome)
		case <-time.After(testLimit):
			t.Fatalf("idempotent %v: the request has not ended", idempotent)
		}
		client.Close()
	}
}
