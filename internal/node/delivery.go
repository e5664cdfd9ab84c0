package node

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Headers of responses to callers.
const (
	headerVerdict  = "Sardinereach-Verdict"
	headerReason   = "Sardinereach-Reason"
	headerAttempt  = "Sardinereach-Attempt"
	headerReplayed = "Sardinereach-Replayed"

	headerPrefix = "Sardinereach-"
)

const (
	// idempotentBufferBytes is how much of a response is buffered before the first byte is sent to the caller. An attempt
	// that fails within it can be retried, because the caller has not received any part of its response.
	idempotentBufferBytes = 64 << 10
	// nonIdempotentBufferBytes is the same for non-idempotent requests, whose complete responses are recorded.
	nonIdempotentBufferBytes = maxRetainedAnswerBytes
)

// delivery sends the response of one attempt to the caller. It buffers the beginning. Until something was sent, it can
// be reset for the response of another attempt.
type delivery struct {
	next        peer.Sink
	bufferLimit int
	// onCrossRegionBytes is called with the number of bytes received over a link between regions. It is nil if they are
	// not counted.
	onCrossRegionBytes func(int)

	// unmodifiedHead means that the head is sent as received, without adding the headers for the caller: another node
	// has added them, or the callers' dialect has none.
	unmodifiedHead bool
	// isAdditional means that a target has received, or may receive, the request in another attempt.
	isAdditional bool
	// replacesCutRun means that the stop of a node has cut off an earlier attempt, or will do so.
	replacesCutRun bool
	// onOverdue is called when the attempt is overdue. It is nil if the request cannot be hedged.
	onOverdue func()
	// onCutOff is called when the admitting node stops and will cut off the attempt. It may be nil.
	onCutOff func(in time.Duration)
	// mayCommit reports whether the response may be sent to the caller; nil means that it always may.
	mayCommit func() bool

	attempt       string
	head          *peerv1.AnswerHead
	buffered      []byte
	receivedBytes int64
	committed     bool
}

func newDelivery(next peer.Sink, bufferLimit int) *delivery {
	return &delivery{next: next, bufferLimit: bufferLimit}
}

// reset discards the response of an earlier attempt. It must not be called after something was sent to the caller.
func (d *delivery) reset(attempt string, onCrossRegionBytes func(int)) {
	d.attempt = attempt
	d.onCrossRegionBytes = onCrossRegionBytes
	d.head = nil
	d.buffered = d.buffered[:0]
	d.receivedBytes = 0
}

// clone returns a delivery with the same response that is not changed by a later reset.
func (d *delivery) clone() *delivery {
	c := *d
	c.buffered = slices.Clone(d.buffered)
	return &c
}

// status returns the status of the response, 0 without a head.
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
	if length := head.ContentLength; length > 0 && length <= int64(d.bufferLimit) {
		d.buffered = slices.Grow(d.buffered, int(length))
	}
	return nil
}

// Body implements peer.Sink.
func (d *delivery) Body(piece []byte) error {
	if d.head == nil {
		return errors.New("node: the answer has no head")
	}
	d.receivedBytes += int64(len(piece))
	if d.onCrossRegionBytes != nil {
		d.onCrossRegionBytes(len(piece))
	}
	if !d.committed && len(d.buffered)+len(piece) <= d.bufferLimit {
		d.buffered = append(d.buffered, piece...)
		return nil
	}
	if err := d.commit(); err != nil {
		return err
	}
	return d.next.Body(piece)
}

// commit sends the buffered part of the response to the caller.
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
	if len(d.buffered) == 0 {
		return nil
	}
	err := d.next.Body(d.buffered)
	d.buffered = nil
	return err
}

// errSuperseded ends an attempt when another attempt of the request has already started to send its response.
var errSuperseded = errors.New("node: another attempt has answered the request")

// Overdue implements peer.OverdueSink.
func (d *delivery) Overdue() {
	if d.onOverdue != nil {
		d.onOverdue()
	}
}

// WillBeCutOff implements peer.CutOffSink.
func (d *delivery) WillBeCutOff(in time.Duration) {
	if d.onCutOff != nil {
		d.onCutOff(in)
	}
}

// finalHead returns the head with the verdict and attempt headers for the caller.
func (d *delivery) finalHead() *peerv1.AnswerHead {
	if d.unmodifiedHead {
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

// checkComplete returns an error unless the response has a head and all of the announced bytes.
func (d *delivery) checkComplete(isHeadRequest bool, trailer *peerv1.AnswerTrailer) *verdict.Error {
	switch {
	case d.head == nil:
		return verdict.Uncertain(verdict.AnswerIncomplete, errors.New("the answer has no head"))
	case trailer.TotalBytes != d.receivedBytes:
		return verdict.Uncertain(verdict.AnswerIncomplete,
			errors.Errorf("the answer has %d bytes of %d", d.receivedBytes, trailer.TotalBytes))
	case !isHeadRequest && d.head.ContentLength >= 0 && d.head.ContentLength != d.receivedBytes:
		return verdict.Uncertain(verdict.AnswerIncomplete,
			errors.Errorf("the answer has %d bytes of the announced %d", d.receivedBytes, d.head.ContentLength))
	}
	return nil
}

// recordableAnswer returns a copy of the response to record. It returns nil for a response that was already sent in
// part, which is too large to be recorded; then only the fact that the request ran is recorded.
func (d *delivery) recordableAnswer() *admission.Answer {
	if d.committed || d.head == nil {
		return nil
	}
	return &admission.Answer{
		Status:  int(d.head.Status),
		Headers: toHeaders(d.finalHead().Headers),
		Body:    append([]byte(nil), d.buffered...),
	}
}

// replay sends a recorded response.
func replay(next peer.Sink, answer *admission.Answer, extra ...*peerv1.Header) error {
	head := answerHead(answer)
	head.Headers = append(head.Headers, extra...)
	if err := next.Head(head); err != nil {
		return err
	}
	return next.Body(answer.Body)
}

// answerHead returns the head of a recorded response.
func answerHead(answer *admission.Answer) *peerv1.AnswerHead {
	return &peerv1.AnswerHead{
		Status: int32(answer.Status), Headers: fromHeaders(answer.Headers), ContentLength: int64(len(answer.Body)),
	}
}
