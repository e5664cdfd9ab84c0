package once

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// bench is two nodes over one store without faults, with a clock that the test moves.
type bench struct {
	memory      *memory
	now         time.Time
	first, next *Claims
}

func newBench() *bench {
	b := &bench{memory: newMemory(), now: time.Unix(1_800_000_000, 0)}
	b.first, b.next = b.claims("a", 1), b.claims("b", 1)
	return b
}

func (b *bench) claims(node model.NodeID, incarnation model.Incarnation) *Claims {
	return NewClaims(&lossyStore{memory: b.memory}, node, incarnation, Options{Clock: func() time.Time { return b.now }})
}

func (b *bench) grant(t *testing.T, key string) *Grant {
	t.Helper()
	result, err := b.first.Begin(context.Background(), testService, key, 1)
	if err != nil || result.Grant == nil {
		t.Fatalf("begin %s: %+v, %v", key, result, err)
	}
	return result.Grant
}

// Guards against a key that runs or replays a different request, and against keys that are no keys.
func TestKeyBelongsToOneRequest(t *testing.T) {
	b, ctx := newBench(), context.Background()
	grant := b.grant(t, "k")
	for _, running := range []bool{true, false} {
		if _, err := b.next.Begin(ctx, testService, "k", 2); err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.KeyReused {
			t.Errorf("running %v: %v, want %s", running, err, verdict.KeyReused)
		}
		if running {
			grant.Dispatched()
			_ = grant.Record(ctx, &admission.Answer{Status: 201})
		}
	}
	for _, key := range []string{"", "a\nb", "é", string(make([]byte, 201))} {
		if _, err := b.next.Begin(ctx, testService, key, 2); err == nil || err.Reason != verdict.KeyInvalid {
			t.Errorf("key %q: %v, want %s", key, err, verdict.KeyInvalid)
		}
	}
	if len(b.memory.kvs) != 1 {
		t.Errorf("%d claims in the store, want 1", len(b.memory.kvs))
	}
}

// Guards against answers of any size that make a claim too large, and against a replay that is not the answer.
func TestLargeAnswersAreNotRecorded(t *testing.T) {
	ctx := context.Background()
	for _, size := range []int{0, MaxRecordedBytes, MaxRecordedBytes + 1} {
		b := newBench()
		grant := b.grant(t, "k")
		grant.Dispatched()
		if err := grant.Record(ctx, &admission.Answer{Status: 201, Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		result, err := b.first.Begin(ctx, testService, "k", 1)
		if err != nil || result.Replay == nil || len(result.Replay.Answer.Body) != size {
			t.Errorf("%d bytes: the holder replays %+v, %v", size, result, err)
		}
		result, err = b.next.Begin(ctx, testService, "k", 1)
		recorded := size <= MaxRecordedBytes
		if recorded && (result.Replay == nil || len(result.Replay.Answer.Body) != size) {
			t.Errorf("%d bytes: another node replays %+v, %v", size, result, err)
		}
		if !recorded && (err == nil || err.Verdict != verdict.MayHaveRun || err.Reason != verdict.AnswerDropped) {
			t.Errorf("%d bytes: another node gets %+v, %v, want %s", size, result, err, verdict.AnswerDropped)
		}
	}
}

// Guards against a paused holder that dispatches after its deadline, between the check and the dispatch too.
func TestPausedHolderDoesNotDispatch(t *testing.T) {
	b := newBench()
	grant := b.grant(t, "k")
	if !grant.MayDispatch(b.now) {
		t.Fatal("a fresh grant may not dispatch")
	}
	b.now = b.now.Add(defaultGrantFor)
	if grant.MayDispatch(b.now) || grant.Dispatched() {
		t.Fatal("dispatched after the deadline")
	}
	if err := grant.Release(context.Background()); err != nil || len(b.memory.kvs) != 0 {
		t.Fatalf("release: %v, %d claims are left", err, len(b.memory.kvs))
	}
}

// Guards against a dispatch state machine that releases what may have run, or that dispatches twice, beside another
// dispatch, after its end or after its deadline.
func TestDispatchStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		d := dispatch{deadline: now.Add(10 * time.Second)}
		outstanding, over := false, false
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				want := !outstanding && !over && now.Before(d.deadline)
				if d.allowed(now) != want || d.begin(now) != want {
					t.Fatalf("begin: want %v", want)
				}
				outstanding = outstanding || want
			},
			"not run": func(*rapid.T) { d.notRun(); outstanding = outstanding && over },
			"release": func(t *rapid.T) {
				if want := !outstanding && !over; d.release() != want {
					t.Fatalf("release: want %v", want)
				}
				over = over || !outstanding
			},
			"end": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 && d.end() == over {
					t.Fatalf("end: want %v", !over)
				} else {
					over = d.over
				}
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "s")) * time.Second) },
		})
	})
}

// Guards against claims that block a key for good after a store outage, and against outcomes that are lost in one.
func TestOutageIsSettledLater(t *testing.T) {
	b, ctx := newBench(), context.Background()
	released, recorded := b.grant(t, "released"), b.grant(t, "recorded")
	recorded.Dispatched()
	b.memory.down = true
	if _, err := b.first.Begin(ctx, testService, "new", 1); err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.StoreUnavailable {
		t.Fatalf("begin: %v, want %s", err, verdict.StoreUnavailable)
	}
	if released.Release(ctx) == nil || recorded.Record(ctx, &admission.Answer{Status: 201}) == nil {
		t.Fatal("no error while the store is down")
	}
	if got := b.first.Operation(released.Claim()).State; got != StateNotRun {
		t.Errorf("released claim: state %d, want %d", got, StateNotRun)
	}
	if got := b.first.Operation(recorded.Claim()); got.State != StateAnswered || got.Answer.Status != 201 {
		t.Errorf("recorded claim: %+v", got)
	}
	b.memory.down = false
	done, err := b.first.Collect(ctx, nil, 100)
	if err != nil || done.Settled != 2 {
		t.Fatalf("collect: %+v, %v, want 2 settled", done, err)
	}
	if result, err := b.next.Begin(ctx, testService, "released", 1); result.Grant == nil {
		t.Errorf("released key: %+v, %v, want a grant", result, err)
	}
	if result, err := b.next.Begin(ctx, testService, "recorded", 1); result.Replay == nil {
		t.Errorf("recorded key: %+v, %v, want a replay", result, err)
	}
}

// lateStore loses every swap on the way and keeps it.
type lateStore struct {
	lossyStore
	late []func()
}

// CompareAndSwap implements store.Store.
func (s *lateStore) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, _ store.LeaseID) (store.KV, error) {
	s.late = append(s.late, func() { _, _ = s.memory.swap(key, expect, value) })
	return store.KV{}, store.ErrUnknownOutcome
}

// Guards against a key that stays blocked by a claim that took effect after its request was refused.
func TestLateClaimIsGivenBack(t *testing.T) {
	for _, collected := range []bool{true, false} {
		b, ctx := newBench(), context.Background()
		late := &lateStore{lossyStore: lossyStore{memory: b.memory}}
		b.first.store = late
		if _, err := b.first.Begin(ctx, testService, "k", 1); err == nil || err.Verdict != verdict.NotRun {
			t.Fatalf("begin: %v, want not-run", err)
		}
		for _, arrive := range late.late {
			arrive()
		}
		result, err := b.next.Begin(ctx, testService, "k", 1)
		if err != nil || result.Running == nil || b.first.Operation(result.Running.Claim).State != StateNotRun {
			t.Fatalf("late claim: %+v, %v, want a holder that knows that nothing ran", result, err)
		}
		if collected {
			if done, err := b.first.Collect(ctx, nil, 100); err != nil || done.Settled != 1 || len(b.memory.kvs) != 0 {
				t.Fatalf("collect: %+v, %v", done, err)
			}
		}
		if result, err = b.next.TakeOver(ctx, result.Running); err != nil || result.Grant == nil {
			t.Fatalf("take over: %+v, %v, want a grant", result, err)
		}
	}
}

// Guards against claims that are collected before their time or never, and against unbounded store calls.
func TestCollectIsBoundedAndKeepsTheRetention(t *testing.T) {
	b, ctx := newBench(), context.Background()
	const ended, lost = 100, 20
	for i := range ended + lost {
		grant := b.grant(t, fmt.Sprint(i))
		grant.Dispatched()
		if i < ended {
			_ = grant.Record(ctx, &admission.Answer{Status: 201})
		}
	}
	services := []model.ServiceName{testService, "other"}
	for _, step := range []struct {
		after time.Duration
		left  int
	}{{23 * time.Hour, ended + lost}, {2 * time.Hour, lost}, {25 * time.Hour, 0}} {
		b.now = b.now.Add(step.after)
		const rounds, calls = 600, 2
		for range rounds {
			done, err := b.next.Collect(ctx, services, calls)
			if err != nil || done.Calls > calls {
				t.Fatalf("collect: %+v, %v", done, err)
			}
		}
		if got := len(b.memory.kvs); got != step.left {
			t.Fatalf("%d claims are left, want %d", got, step.left)
		}
	}
}

// Guards against a swap whose lost answer is settled wrongly, for every order of answers.
func TestWriteSettlesLostAnswers(t *testing.T) {
	unknown, down := store.ErrUnknownOutcome, store.ErrUnavailable
	own, other := store.KV{Value: []byte("own"), Revision: 5}, store.KV{Value: []byte("other"), Revision: 6}
	conflict := &store.ConflictError{Current: other, Exists: true}
	for _, c := range []struct {
		name  string
		swaps []error
		reads []any
		want  step
	}{
		{"taken", []error{nil}, nil, stepDone},
		{"conflict", []error{conflict}, nil, stepConflict},
		{"down", []error{down}, nil, stepGiveUp},
		{"answer lost, taken", []error{unknown}, []any{own}, stepDone},
		{"answer lost, another one came first", []error{unknown}, []any{other}, stepConflict},
		{"request lost, then taken", []error{unknown, nil}, []any{store.ErrNotFound}, stepDone},
		{"late request comes before the second", []error{unknown, &store.ConflictError{Current: own, Exists: true}}, []any{store.ErrNotFound}, stepDone},
		{"read fails", []error{unknown}, []any{down}, stepGiveUp},
		{"always lost", []error{unknown, unknown, unknown}, []any{store.ErrNotFound, store.ErrNotFound, store.ErrNotFound}, stepGiveUp},
	} {
		w := &write{value: []byte("own")}
		next := stepSwap
		for next < stepDone {
			if next == stepSwap {
				next = w.swapped(own, c.swaps[0])
				c.swaps = c.swaps[1:]
				continue
			}
			kv, _ := c.reads[0].(store.KV)
			err, _ := c.reads[0].(error)
			c.reads = c.reads[1:]
			next = w.read(kv, err)
		}
		if next != c.want || len(c.swaps)+len(c.reads) != 0 {
			t.Errorf("%s: step %d, want %d", c.name, next, c.want)
		}
	}
}
