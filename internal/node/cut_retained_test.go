package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// failingSink fails at its first call, like the stream to a node that is gone.
type failingSink struct{}

func (failingSink) Head(*peerv1.AnswerHead) error { return errors.New("gone") }

func (failingSink) Body([]byte) error { return errors.New("gone") }

// Guards against a part of an answer that is retained, and that a lookup hands out as the complete one.
func TestCutAnswerIsNotRetained(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	const answered, lost, ended = peerv1.AttemptState_ATTEMPT_STATE_ANSWERED, peerv1.AttemptState_ATTEMPT_STATE_LOST, peerv1.AttemptState_ATTEMPT_STATE_ENDED
	large := strings.Repeat("x", maxRetainedAnswerBytes+1)
	for name, c := range map[string]struct {
		answer string
		state  peerv1.AttemptState
		body   string
	}{
		"whole, length":       {head + "Content-Length: 3\r\n\r\nabc", answered, "abc"},
		"whole, chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + "0\r\n\r\n", answered, "abc"},
		"cut in the head":     {head, lost, ""},
		"cut before the body": {head + "Content-Length: 3\r\n\r\n", lost, ""},
		"cut in the body":     {head + "Content-Length: 3\r\n\r\nab", lost, ""},
		"cut after a chunk":   {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc"), lost, ""},
		"cut in the end":      {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("abc") + "0\r\n", lost, ""},
		"two lengths":         {head + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc", lost, ""},
		"too large":           {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large, ended, ""},
		"too large, cut":      {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)+1) + large, lost, ""},
	} {
		for sinkName, sink := range map[string]peer.Sink{"received": new(recordingSink), "gone": failingSink{}} {
			t.Run(name+","+sinkName, func(t *testing.T) {
				a, _ := startAcceptor(t)
				addTarget(t, a, &declaration.Service{Name: "s"}, answerOnce(t, c.answer))
				attempt := &peerv1.ForwardHead{
					Attempt: "a", Service: "s", Target: "t1", Method: "POST", Uri: "/s", Host: "h", TimeoutMs: 10_000, Incarnation: 1,
					AdmitBeforeMs: (a.clock.now() + 10*time.Second).Milliseconds(),
				}
				trailer := a.admitter.run(context.Background(), attempt, peer.Bytes(nil), sink)
				res := lookupResponse(a.admitter.lookup(&peerv1.LookupRequest{Attempt: "a", Service: "s", Target: "t1", Incarnation: 1}))
				if res.State != c.state || string(res.Body) != c.body {
					t.Errorf("%v with %d bytes, trailer %v; want %v with %d", res.State, len(res.Body), trailer, c.state, len(c.body))
				}
			})
		}
	}
}

// Guards against a caller that receives a part of an answer as the complete one, over the stream or by a lookup, because the
// connection between the nodes ended within it.
func TestLookedUpAnswerIsWhole(t *testing.T) {
	whole := strings.Repeat("0123456789", 100)
	res := &peerv1.LookupResponse{
		State: peerv1.AttemptState_ATTEMPT_STATE_ANSWERED, Head: &peerv1.AnswerHead{Status: 200, ContentLength: -1}, Body: []byte(whole),
	}
	for _, received := range []int{0, 1, len(whole) - 1} {
		sink := new(recordingSink)
		out := newDelivery(sink, nonIdempotentBufferBytes)
		if err := out.Head(&peerv1.AnswerHead{Status: 200, ContentLength: int64(len(whole))}); err != nil {
			t.Fatal(err)
		}
		if err := out.Body([]byte(whole[:received])); err != nil {
			t.Fatal(err)
		}
		trailer, outcome, final := lookupOutcome(res, &peerv1.ForwardHead{Attempt: "a"}, out)
		if !final || outcome != nil || out.checkComplete(false, trailer) != nil {
			t.Fatalf("after %d bytes: %v, %v", received, trailer, outcome)
		}
		if err := out.commit(); err != nil || sink.body.String() != whole {
			t.Errorf("after %d bytes the caller has %d of %d, %v", received, sink.body.Len(), len(whole), err)
		}
	}
}
