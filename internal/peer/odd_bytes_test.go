package peer

import (
	"context"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// oddValue is a header value that HTTP allows and that is not valid UTF-8.
const oddValue = "Jos\xe9 \xff\x80 \u00e9"

// Guards against losing a request or a response between nodes because its head has bytes that are not valid UTF-8, which
// HTTP allows in header values and which callers send in paths.
func TestHeadsWithoutValidUTF8(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		var got *peerv1.ForwardHead
		listener, client := serve(t, &echoHandler{run: func(_ context.Context, head *peerv1.ForwardHead, _ []byte, sink Sink) *peerv1.AnswerTrailer {
			got = head
			if err := sink.Head(&peerv1.AnswerHead{Status: 200, Headers: []*peerv1.Header{{Name: "A", Value: oddValue}, {Name: "B", Value: "b"}}}); err != nil {
				return &peerv1.AnswerTrailer{Verdict: int32(verdict.MayHaveRun), Detail: err.Error()}
			}
			return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran)}
		}}, Options{})
		head := &peerv1.ForwardHead{
			Attempt: "a", Idempotent: idempotent, Uri: "/caf\xe9?q=\xff", Headers: []*peerv1.Header{{Name: "A", Value: oddValue}}, TimeoutMs: 5000,
		}
		sink := new(bufferSink)
		trailer, err := client.Forward(t.Context(), listener.Addr().String(), head, nil, sink)
		if err != nil || verdict.Verdict(trailer.Verdict) != verdict.Ran {
			t.Errorf("idempotent %v: %v, %v", idempotent, trailer, err)
		} else if got.Uri != head.Uri || got.Headers[0].Value != oddValue || sink.head.Headers[0].Value != oddValue || sink.head.Headers[1].Value != "b" {
			t.Errorf("idempotent %v: request %q, response %q", idempotent, got, sink.head)
		}
	}
}

// Guards against losing the outcome of an attempt because its detail, which quotes what an upstream sent, has bytes that are
// not valid UTF-8 or is as long as that.
func TestDetailWithoutValidUTF8(t *testing.T) {
	for name, detail := range map[string]string{"bytes": "malformed \xff\xfe line", "long": string(make([]byte, 1<<20))} {
		listener, client := serve(t, &echoHandler{run: func(context.Context, *peerv1.ForwardHead, []byte, Sink) *peerv1.AnswerTrailer {
			return &peerv1.AnswerTrailer{Verdict: int32(verdict.MayHaveRun), Reason: string(verdict.UpstreamLost), Detail: detail}
		}}, Options{})
		trailer, err := client.Forward(t.Context(), listener.Addr().String(), &peerv1.ForwardHead{Attempt: "a", Idempotent: true, TimeoutMs: 5000}, nil, new(bufferSink))
		if err != nil || trailer.Reason != string(verdict.UpstreamLost) {
			t.Errorf("%s: %v, %v; want the outcome of the attempt", name, trailer.GetReason(), err)
		}
	}
}

// Guards against a retained response that cannot be looked up because of such bytes.
func TestLookupWithoutValidUTF8(t *testing.T) {
	head := &peerv1.AnswerHead{Status: 200, Headers: []*peerv1.Header{{Name: "A", Value: oddValue}}}
	listener, client := serve(t, &echoHandler{run: echo, answer: head}, Options{})
	lookup, err := client.Lookup(t.Context(), listener.Addr().String(), new(peerv1.LookupRequest))
	if err != nil || lookup.Head.Headers[0].Value != oddValue {
		t.Errorf("lookup: %v, %v", lookup, err)
	}
	operation, err := client.Operation(t.Context(), listener.Addr().String(), new(peerv1.OperationRequest))
	if err != nil || operation.Head.Headers[0].Value != oddValue {
		t.Errorf("operation: %v, %v", operation, err)
	}
	if head.Headers[0].Value != oddValue {
		t.Errorf("the retained head was changed to %q", head.Headers[0].Value)
	}
}
