package node

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Headers of answers to callers.
const (
	headerVerdict  = "Sardinereach-Verdict"
	headerReason   = "Sardinereach-Reason"
	headerAttempt  = "Sardinereach-Attempt"
	headerReplayed = "Sardinereach-Replayed"

	headerPrefix = "Sardinereach-"
)

const (
	// idempotentHoldBytes is how much of an answer is held back before the first byte goes to the caller. An attempt
	// that fails within it can be retried without the caller seeing a part of its answer.
	idempotentHoldBytes = 64 << 10
	// onceHoldBytes is the same for non-idempotent requests, whose answers are recorded as a whole.
	onceHoldBytes = maxRetainedAnswerBytes
)

// delivery passes the answer of one attempt to the caller. It holds the beginning back, and can start again with the
// answer of another attempt until something was passed on.
type delivery struct {
	next  peer.Sink
	limit int
	// crossBytes is told the bytes that came over a link between regions; nil if the target is in this region.
	crossBytes func(int)

	// asIs means that the answer comes from a node that has added the headers for the caller.
	asIs bool
	// repeat means that a target has received, or may receive, the request by another attempt.
	repeat bool
	// overdue is called when the attempt takes much longer than usual; nil if nothing can be done about it.
	overdue func()
	// mayCommit reports whether the answer may be passed on; nil means that it always may.
	mayCommit func() bool

	attempt   string
	head      *peerv1.AnswerHead
	held      []byte
	received  int64
	committed bool
}

func newDelivery(next peer.Sink, limit int) *delivery {
	return &delivery{next: next, limit: limit}
}

// restart forgets the answer of an earlier attempt. It must not be called after something was passed on.
func (d *delivery) restart(attempt string, crossBytes func(int)) {
	d.attempt = attempt
	d.crossBytes = crossBytes
	d.head = nil
	d.held = d.held[:0]
	d.received = 0
}

// clone returns a delivery that holds the same answer and is not changed by restart.
func (d *delivery) clone() *delivery {
	c := *d
	c.held = slices.Clone(d.held)
	return &c
}

// status returns the status of the answer, 0 without a head.
func (d *delivery) status() int {
	if d.head == nil {
		return 0
	}
	return int(d.head.Status)
}

// Head implements peer.Sink.
func (d *delivery) Head(head *peerv1.AnswerHead) error {
	if d.head != nil {
		return errors.New("node: the answer has two heads")
	}
	d.head = head
	return nil
}

// Body implements peer.Sink.
func (d *delivery) Body(piece []byte) error {
	if d.head == nil {
		return errors.New("node: the answer has no head")
	}
	d.received += int64(len(piece))
	if d.crossBytes != nil {
		d.crossBytes(len(piece))
	}
	if !d.committed && len(d.held)+len(piece) <= d.limit {
		d.held = append(d.held, piece...)
		return nil
	}
	if err := d.commit(); err != nil {
		return err
	}
	return d.next.Body(piece)
}

// commit passes on what was held back.
func (d *delivery) commit() error {
	if d.committed {
		return nil
	}
	if d.mayCommit != nil && !d.mayCommit() {
		return errSuperseded
	}
	d.committed = true
	if err := d.next.Head(d.finalHead()); err != nil {
		return err
	}
	if len(d.held) == 0 {
		return nil
	}
	err := d.next.Body(d.held)
	d.held = nil
	return err
}

// errSuperseded ends an attempt whose request is answered by another one.
var errSuperseded = errors.New("node: another attempt has answered the request")

// Overdue implements peer.OverdueSink.
func (d *delivery) Overdue() {
	if d.overdue != nil {
		d.overdue()
	}
}

// finalHead returns the head with the headers that tell the caller the verdict.
func (d *delivery) finalHead() *peerv1.AnswerHead {
	if d.asIs {
		return d.head
	}
	headers := make([]*peerv1.Header, 0, len(d.head.Headers)+2)
	for _, h := range d.head.Headers {
		if !strings.HasPrefix(h.Name, headerPrefix) {
			headers = append(headers, h)
		}
	}
	headers = append(headers,
		&peerv1.Header{Name: headerVerdict, Value: verdict.Ran.String()},
		&peerv1.Header{Name: headerAttempt, Value: d.attempt})
	return &peerv1.AnswerHead{Status: d.head.Status, Headers: headers, ContentLength: d.head.ContentLength}
}

// checkWhole returns an error unless the answer has a head and every byte that was announced.
func (d *delivery) checkWhole(isHead bool, trailer *peerv1.AnswerTrailer) *verdict.Error {
	switch {
	case d.head == nil:
		return verdict.Uncertain(verdict.AnswerIncomplete, errors.New("the answer has no head"))
	case trailer.TotalBytes != d.received:
		return verdict.Uncertain(verdict.AnswerIncomplete,
			errors.Errorf("the answer has %d bytes of %d", d.received, trailer.TotalBytes))
	case !isHead && d.head.ContentLength >= 0 && d.head.ContentLength != d.received:
		return verdict.Uncertain(verdict.AnswerIncomplete,
			errors.Errorf("the answer has %d bytes of the announced %d", d.received, d.head.ContentLength))
	}
	return nil
}

// recordable returns a copy of the answer to record. An answer that was passed on in part is too large to be recorded;
// then nil says only that the request ran.
func (d *delivery) recordable() *admission.Answer {
	if d.committed || d.head == nil {
		return nil
	}
	return &admission.Answer{
		Status:  int(d.head.Status),
		Headers: toHeaders(d.finalHead().Headers),
		Body:    append([]byte(nil), d.held...),
	}
}

// replay passes on an answer that was kept.
func replay(next peer.Sink, answer *admission.Answer, extra ...*peerv1.Header) error {
	head := answerHead(answer)
	head.Headers = append(head.Headers, extra...)
	if err := next.Head(head); err != nil {
		return err
	}
	return next.Body(answer.Body)
}

// answerHead returns the head of an answer that was kept.
func answerHead(answer *admission.Answer) *peerv1.AnswerHead {
	return &peerv1.AnswerHead{
		Status: int32(answer.Status), Headers: fromHeaders(answer.Headers), ContentLength: int64(len(answer.Body)),
	}
}
