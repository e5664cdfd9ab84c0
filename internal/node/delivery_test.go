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

// Guards against the caller getting a part of the answer of an attempt that failed before the answer of the next one.
func TestFailedAttemptLeavesNoTrace(t *testing.T) {
	sink := new(recordingSink)
	d := newDelivery(sink, 8)
	deliver(t, d, 6, "abc")
	d.restart("2", nil)
	deliver(t, d, 3, "xyz")
	if err := d.commit(); err != nil {
		t.Fatal(err)
	}
	if sink.heads != 1 || sink.body.String() != "xyz" {
		t.Errorf("the caller got %d heads and %q", sink.heads, sink.body.String())
	}
}

// Guards against a truncated answer counting as whole.
func TestShortAnswersAreNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		length, total int64
		body          string
		isHead, whole bool
	}{
		"whole":                     {3, 3, "abc", false, true},
		"whole of unknown length":   {-1, 3, "abc", false, true},
		"short of the length":       {4, 3, "abc", false, false},
		"short of what was passed":  {-1, 4, "abc", false, false},
		"HEAD announces but has no": {10, 0, "", true, true},
	} {
		d := newDelivery(new(recordingSink), 8)
		deliver(t, d, c.length, c.body)
		err := d.checkWhole(c.isHead, &peerv1.AnswerTrailer{TotalBytes: c.total})
		if (err == nil) != c.whole {
			t.Errorf("%s: %v", name, err)
		}
	}
	d := newDelivery(new(recordingSink), 8)
	if err := d.checkWhole(false, &peerv1.AnswerTrailer{}); err == nil || err.Verdict != verdict.MayHaveRun {
		t.Errorf("an answer without a head: %v", err)
	}
}

// Guards against a large answer being held in memory as a whole, and against a recorded answer that is only a part.
func TestLargeAnswersPassThrough(t *testing.T) {
	sink := new(recordingSink)
	d := newDelivery(sink, 4)
	deliver(t, d, 9, "abc", "def", "ghi")
	if len(d.held) != 0 || sink.body.String() != "abcdefghi" {
		t.Errorf("%d bytes held, %q passed on", len(d.held), sink.body.String())
	}
	if d.recordable() != nil {
		t.Error("an answer that was passed on is to be recorded")
	}
}
