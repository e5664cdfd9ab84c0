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

// fixture is two nodes that share a store without random faults, and a clock that the test advances.
type fixture struct {
	memory       *memory
	now          time.Time
	nodeA, nodeB *Claims
}

func newFixture() *fixture {
	f := &fixture{memory: newMemory(), now: time.Unix(1_800_000_000, 0)}
	f.nodeA, f.nodeB = f.claims("a", 1), f.claims("b", 1)
	return f
}

func (f *fixture) claims(node model.NodeID, incarnation model.Incarnation) *Claims {
	return NewClaims(&lossyStore{memory: f.memory}, node, incarnation, Options{Clock: func() time.Time { return f.now }})
}

func (f *fixture) grant(t *testing.T, key string) *Grant {
	t.Helper()
	result, err := f.nodeA.Begin(context.Background(), testService, key, 1)
	if err != nil || result.Grant == nil {
		t.Fatalf("begin %s: %+v, %v", key, result, err)
	}
	return result.Grant
}

// Guards against a key that runs or replays a different request, and against invalid keys.
func TestKeyBelongsToOneRequest(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	grant := f.grant(t, "k")
	for _, running := range []bool{true, false} {
		if _, err := f.nodeB.Begin(ctx, testService, "k", 2); err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.KeyReused {
			t.Errorf("running %v: %v, want %s", running, err, verdict.KeyReused)
		}
		if running {
			grant.BeginDispatch()
			_ = grant.Record(ctx, &admission.Answer{Status: 201})
		}
	}
	for _, key := range []string{"", "a\nb", "é", string(make([]byte, 201))} {
		if _, err := f.nodeB.Begin(ctx, testService, key, 2); err == nil || err.Reason != verdict.KeyInvalid {
			t.Errorf("key %q: %v, want %s", key, err, verdict.KeyInvalid)
		}
	}
	if len(f.memory.kvs) != 1 {
		t.Errorf("%d claims in the store, want 1", len(f.memory.kvs))
	}
}

// Guards against large responses that make a claim document too large, and against a replay that differs from the
// response.
func TestLargeAnswersAreNotRecorded(t *testing.T) {
	ctx := context.Background()
	for _, size := range []int{0, MaxRecordedBytes, MaxRecordedBytes + 1} {
		f := newFixture()
		grant := f.grant(t, "k")
		grant.BeginDispatch()
		if err := grant.Record(ctx, &admission.Answer{Status: 201, Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		result, err := f.nodeA.Begin(ctx, testService, "k", 1)
		if err != nil || result.Replay == nil || len(result.Replay.Answer.Body) != size {
			t.Errorf("%d bytes: the holder replays %+v, %v", size, result, err)
		}
		result, err = f.nodeB.Begin(ctx, testService, "k", 1)
		recorded := size <= MaxRecordedBytes
		if recorded && (result.Replay == nil || len(result.Replay.Answer.Body) != size) {
			t.Errorf("%d bytes: another node replays %+v, %v", size, result, err)
		}
		if !recorded && (err == nil || err.Verdict != verdict.MayHaveRun || err.Reason != verdict.AnswerDropped) {
			t.Errorf("%d bytes: another node gets %+v, %v, want %s", size, result, err, verdict.AnswerDropped)
		}
	}
}

// Guards against a holder that dispatches after its deadline because it was paused, also between the check and the
// dispatch.
func TestPausedHolderDoesNotDispatch(t *testing.T) {
	f := newFixture()
	grant := f.grant(t, "k")
	if !grant.MayDispatch(f.now) {
		t.Fatal("a fresh grant may not dispatch")
	}
	f.now = f.now.Add(defaultGrantTTL)
	if grant.MayDispatch(f.now) || grant.BeginDispatch() {
		t.Fatal("dispatched after the deadline")
	}
	if err := grant.Release(context.Background()); err != nil || len(f.memory.kvs) != 0 {
		t.Fatalf("release: %v, %d claims are left", err, len(f.memory.kvs))
	}
}

// Guards against a dispatch state machine that releases a request that may have run, or that allows a dispatch while
// another one is outstanding, after the end of the claim or after the deadline.
func TestDispatchStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		d := dispatch{deadline: now.Add(10 * time.Second)}
		outstanding, ended := false, false
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				want := !outstanding && !ended && now.Before(d.deadline)
				if d.allowed(now) != want || d.begin(now) != want {
					t.Fatalf("begin: want %v", want)
				}
				outstanding = outstanding || want
			},
			"not run": func(*rapid.T) { d.markNotRun(); outstanding = outstanding && ended },
			"release": func(t *rapid.T) {
				if want := !outstanding && !ended; d.release() != want {
					t.Fatalf("release: want %v", want)
				}
				ended = ended || !outstanding
			},
			"end": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 && d.end() == ended {
					t.Fatalf("end: want %v", !ended)
				} else {
					ended = d.ended
				}
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "s")) * time.Second) },
		})
	})
}

// Guards against claims that block a key permanently after a store outage, and against outcomes that an outage loses.
func TestPendingWritesAreFlushedAfterOutage(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	released, recorded := f.grant(t, "released"), f.grant(t, "recorded")
	recorded.BeginDispatch()
	f.memory.down = true
	if _, err := f.nodeA.Begin(ctx, testService, "new", 1); err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.StoreUnavailable {
		t.Fatalf("begin: %v, want %s", err, verdict.StoreUnavailable)
	}
	if released.Release(ctx) == nil || recorded.Record(ctx, &admission.Answer{Status: 201}) == nil {
		t.Fatal("no error while the store is down")
	}
	if got := f.nodeA.Operation(released.Claim()).State; got != StateNotRun {
		t.Errorf("released claim: state %d, want %d", got, StateNotRun)
	}
	if got := f.nodeA.Operation(recorded.Claim()); got.State != StateAnswered || got.Answer.Status != 201 {
		t.Errorf("recorded claim: %+v", got)
	}
	f.memory.down = false
	done, err := f.nodeA.CollectGarbage(ctx, nil, 100)
	if err != nil || done.Flushed != 2 {
		t.Fatalf("collect: %+v, %v, want 2 flushed", done, err)
	}
	if result, err := f.nodeB.Begin(ctx, testService, "released", 1); result.Grant == nil {
		t.Errorf("released key: %+v, %v, want a grant", result, err)
	}
	if result, err := f.nodeB.Begin(ctx, testService, "recorded", 1); result.Replay == nil {
		t.Errorf("recorded key: %+v, %v, want a replay", result, err)
	}
}

// delayedStore returns ErrUnknownOutcome for every swap and keeps the swap, so that the test can apply it later.
type delayedStore struct {
	lossyStore
	delayed []func()
}

// CompareAndSwap implements store.Store.
func (s *delayedStore) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, _ store.LeaseID) (store.KV, error) {
	s.delayed = append(s.delayed, func() { _, _ = s.memory.swap(key, expect, value) })
	return store.KV{}, store.ErrUnknownOutcome
}

// Guards against a key that stays blocked by a claim whose write took effect only after its request was refused.
func TestDelayedClaimIsReleased(t *testing.T) {
	for _, collected := range []bool{true, false} {
		f, ctx := newFixture(), context.Background()
		delayed := &delayedStore{lossyStore: lossyStore{memory: f.memory}}
		f.nodeA.store = delayed
		if _, err := f.nodeA.Begin(ctx, testService, "k", 1); err == nil || err.Verdict != verdict.NotRun {
			t.Fatalf("begin: %v, want not-run", err)
		}
		for _, apply := range delayed.delayed {
			apply()
		}
		result, err := f.nodeB.Begin(ctx, testService, "k", 1)
		if err != nil || result.Running == nil || f.nodeA.Operation(result.Running.Claim).State != StateNotRun {
			t.Fatalf("delayed claim: %+v, %v, want a holder that reports StateNotRun", result, err)
		}
		if collected {
			if done, err := f.nodeA.CollectGarbage(ctx, nil, 100); err != nil || done.Flushed != 1 || len(f.memory.kvs) != 0 {
				t.Fatalf("collect: %+v, %v", done, err)
			}
		}
		if result, err = f.nodeB.TakeOver(ctx, result.Running); err != nil || result.Grant == nil {
			t.Fatalf("take over: %+v, %v, want a grant", result, err)
		}
	}
}

// Guards against claims that are garbage-collected before the end of their retention or never, and against an unbounded
// number of store calls.
func TestGarbageCollectionBoundsCallsAndKeepsRetention(t *testing.T) {
	f, ctx := newFixture(), context.Background()
	const ended, orphaned = 100, 20
	for i := range ended + orphaned {
		grant := f.grant(t, fmt.Sprint(i))
		grant.BeginDispatch()
		if i < ended {
			_ = grant.Record(ctx, &admission.Answer{Status: 201})
		}
	}
	services := []model.ServiceName{testService, "other"}
	for _, step := range []struct {
		after     time.Duration
		remaining int
	}{{23 * time.Hour, ended + orphaned}, {2 * time.Hour, orphaned}, {25 * time.Hour, 0}} {
		f.now = f.now.Add(step.after)
		const rounds, calls = 600, 2
		for range rounds {
			done, err := f.nodeB.CollectGarbage(ctx, services, calls)
			if err != nil || done.Calls > calls {
				t.Fatalf("collect: %+v, %v", done, err)
			}
		}
		if got := len(f.memory.kvs); got != step.remaining {
			t.Fatalf("%d claims are left, want %d", got, step.remaining)
		}
	}
}

// Guards against a wrong result of a swap whose response was lost, for every order of store responses.
func TestWriteResolvesLostResponses(t *testing.T) {
	unknown, down := store.ErrUnknownOutcome, store.ErrUnavailable
	own, other := store.KV{Value: []byte("own"), Revision: 5}, store.KV{Value: []byte("other"), Revision: 6}
	conflict := &store.ConflictError{Current: other, Exists: true}
	for _, c := range []struct {
		name  string
		swaps []error
		reads []any
		want  step
	}{
		{"applied", []error{nil}, nil, stepDone},
		{"conflict", []error{conflict}, nil, stepConflict},
		{"down", []error{down}, nil, stepFailed},
		{"response lost, write applied", []error{unknown}, []any{own}, stepDone},
		{"response lost, another write applied first", []error{unknown}, []any{other}, stepConflict},
		{"request lost, retry applied", []error{unknown, nil}, []any{store.ErrNotFound}, stepDone},
		{"delayed request applied before the retry", []error{unknown, &store.ConflictError{Current: own, Exists: true}}, []any{store.ErrNotFound}, stepDone},
		{"read fails", []error{unknown}, []any{down}, stepFailed},
		{"always lost", []error{unknown, unknown, unknown}, []any{store.ErrNotFound, store.ErrNotFound, store.ErrNotFound}, stepFailed},
	} {
		w := &write{value: []byte("own")}
		next := stepSwap
		for next < stepDone {
			if next == stepSwap {
				next = w.handleSwap(own, c.swaps[0])
				c.swaps = c.swaps[1:]
				continue
			}
			kv, _ := c.reads[0].(store.KV)
			err, _ := c.reads[0].(error)
			c.reads = c.reads[1:]
			next = w.handleRead(kv, err)
		}
		if next != c.want || len(c.swaps)+len(c.reads) != 0 {
			t.Errorf("%s: step %d, want %d", c.name, next, c.want)
		}
	}
}
