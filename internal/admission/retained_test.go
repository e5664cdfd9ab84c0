package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a stop that waits for responses which no accepting node asks for any more, and against one that does not wait for
// those which may still be asked for.
func TestResponsesAreAwaitedUntilTheDeadlineOfTheirRequest(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 4)
	for i, timeout := range []time.Duration{2 * time.Second, 5 * time.Second, 9 * time.Second} {
		r := testRequest(now, uint64(i), timeout)
		p.Admit(now, r)
		p.Finish(now, r.Attempt, Result{Outcome: Answered, Answer: &Answer{Status: 200}})
	}
	stopping := testRequest(now, 3, 9*time.Second)
	stopping.AnswerBy = now + time.Second
	p.Admit(now, stopping)
	p.Finish(now, stopping.Attempt, Result{Outcome: Answered, Answer: &Answer{Status: 200}})
	p.AcknowledgeResponse(model.NewAttemptID("n", 1, 1))
	for after, want := range map[time.Duration]int{0: 3, 1: 3, 2: 2, 8: 2, 9: 0} {
		at := now + after*time.Second
		q := *p
		if got := q.AwaitedResponses(at); got != want {
			t.Errorf("after %d s: %d responses are awaited, want %d", after, got, want)
		}
	}
	if state := p.Lookup(now+9*time.Second, model.NewAttemptID("n", 1, 0), testIncarnation, false).State; state != StateAnswered {
		t.Errorf("the response is not retained any more: %v", state)
	}
}

// Guards against a stop that ends while an accepting node, which stops too, may still ask for a response: its cutoff is later than the
// time by which it wants responses, and a request whose deadline comes shortly after the cutoff goes on.
func TestResponseToAStoppingAcceptorIsAwaited(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 4)
	p.AcceptorStops(now, "n", 1, now+2*time.Second)
	r := testRequest(now, 0, 3*time.Second)
	p.Admit(now, r)
	ended := now + 2500*time.Millisecond
	p.Finish(ended, r.Attempt, Result{Outcome: Answered, Answer: &Answer{Status: 200}})
	if got := p.AwaitedResponses(ended); got != 1 {
		t.Errorf("%d responses are awaited before the deadline, want 1", got)
	}
	if got := p.AwaitedResponses(r.Deadline); got != 0 {
		t.Errorf("%d responses are awaited after the deadline", got)
	}
}
