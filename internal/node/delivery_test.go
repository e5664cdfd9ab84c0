package node

import (
	"bytes"
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

type recordingSink struct {
	heads int
	body  bytes.Buffer
}

func (s *recordingSink) Head(*peerv1.AnswerHead) error {
	s.heads++
	return nil
}

func (s *recordingSink) Body(p []byte) error {
	s.body.Write(p)
	return nil
}

func deliver(t *testing.T, d *delivery, length int64, pieces ...string) {
	t.Helper()
	if err := d.Head(&peerv1.AnswerHead{Status: 200, ContentLength: length}); err != nil {
		t.Fatal(err)
	}
	for _, p := range pieces {
		if err := d.Body([]byte(p)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against sending the caller part of the response of a failed attempt before the response of the next attempt.
func TestFailedAttemptSendsNothingToCaller(t *testing.T) {
	sink := new(recordingSink)
	d := newDelivery(sink, 8)
	deliver(t, d, 6, "abc")
	d.reset("2", nil)
	deliver(t, d, 3, "xyz")
	if err := d.commit(); err != nil {
		t.Fatal(err)
	}
	if sink.heads != 1 || sink.body.String() != "xyz" {
		t.Errorf("the caller received %d heads and %q", sink.heads, sink.body.String())
	}
}

// Guards against treating a truncated response as complete.
func TestTruncatedAnswersAreIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		length, total    int64
		body             string
		isHead, complete bool
	}{
		"complete":                       {3, 3, "abc", false, true},
		"complete, without a length":     {-1, 3, "abc", false, true},
		"shorter than the length":        {4, 3, "abc", false, false},
		"shorter than what was sent":     {-1, 4, "abc", false, false},
		"HEAD with a length and no body": {10, 0, "", true, true},
	} {
		d := newDelivery(new(recordingSink), 8)
		deliver(t, d, c.length, c.body)
		err := d.checkComplete(c.isHead, &peerv1.AnswerTrailer{TotalBytes: c.total})
		if (err == nil) != c.complete {
			t.Errorf("%s: %v", name, err)
		}
	}
	d := newDelivery(new(recordingSink), 8)
	if err := d.checkComplete(false, &peerv1.AnswerTrailer{}); err == nil || err.Verdict != verdict.MayHaveRun {
		t.Errorf("response without a head: %v", err)
	}
}

// Guards against buffering a large response completely in memory, and against recording only part of a response.
func TestLargeAnswersPassThrough(t *testing.T) {
	sink := new(recordingSink)
	d := newDelivery(sink, 4)
	deliver(t, d, 9, "abc", "def", "ghi")
	if len(d.buffered) != 0 || sink.body.String() != "abcdefghi" {
		t.Errorf("%d bytes buffered, %q sent", len(d.buffered), sink.body.String())
	}
	if d.recordableAnswer() != nil {
		t.Error("a response that was sent in part is recordable")
	}
}
