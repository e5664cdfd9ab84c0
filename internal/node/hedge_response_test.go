package node

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a second run of a request whose response is already being sent: only one of the responses can be used.
func TestResponseBeingSentIsNotHedged(t *testing.T) {
	first, second := newStreamingTarget(t), newBlockingTarget(t, "two")
	close(first.start)
	close(second.released)
	a, address := startHedging(t, &first.blockingTarget, second)
	a.admitter.setOperatorDrains(map[model.TargetID]bool{"t2": true})
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	a.admitter.setOperatorDrains(nil)
	announceCutoff(a, cutoffInTest)
	// Without the check both timers of the hedge have fired by then.
	time.Sleep(cutoffInTest)
	close(first.released)
	body, err := io.ReadAll(res.Body)
	if err != nil || len(body) != streamedBytes {
		t.Errorf("%d bytes, error %v; want %d", len(body), err, streamedBytes)
	}
	if runs := second.runs.Load(); runs != 0 {
		t.Errorf("%d runs at the second target, want none", runs)
	}
}

// Guards against a response that is mixed from two attempts: the second one ends while the first one is sending its response.
func TestSecondAttemptDoesNotReplaceResponseBeingSent(t *testing.T) {
	first, second := newStreamingTarget(t), newBlockingTarget(t, "two")
	a, address := startHedging(t, &first.blockingTarget, second)
	a.admitter.setOperatorDrains(map[model.TargetID]bool{"t2": true})
	go func() {
		for first.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		a.admitter.setOperatorDrains(nil)
		announceCutoff(a, cutoffInTest)
		for second.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(first.start)
	}()
	res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	// The response of the first attempt has begun. Let the second one end before it continues.
	close(second.released)
	for a.admitter.inFlight() > 1 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(cutoffInTest)
	close(first.released)
	body, err := io.ReadAll(res.Body)
	if want := bytes.Repeat([]byte("1"), streamedBytes); err != nil || !bytes.Equal(body, want) {
		t.Errorf("%d bytes, error %v; want the %d bytes of the first attempt", len(body), err, streamedBytes)
	}
}

// streamedBytes is more than the accepting node buffers before it sends a response.
const streamedBytes = 4 * idempotentBufferBytes

// streamingTarget sends half of its response at once and the rest when it is released.
type streamingTarget struct {
	blockingTarget
	// start blocks the response until it is closed.
	start chan struct{}
}

func newStreamingTarget(t *testing.T) *streamingTarget {
	t.Helper()
	s := &streamingTarget{blockingTarget: blockingTarget{released: make(chan struct{})}, start: make(chan struct{})}
	half := bytes.Repeat([]byte("1"), streamedBytes/2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.runs.Add(1)
		<-s.start
		w.Header().Set("Content-Length", strconv.Itoa(streamedBytes))
		_, _ = w.Write(half)
		w.(http.Flusher).Flush()
		<-s.released
		_, _ = w.Write(half)
	}))
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	return s
}
