package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	historySeeds   = 100
	historyKeys    = 4
	historyCallers = 3
	historyNodes   = 3
	testService    = model.ServiceName("approvals")
	requestTimeout = 20 * time.Second
)

// approval is one operation on a key: it sends the request of the key, or reads how often it has run.
type approval struct {
	key  int
	read bool
}

// receipt is what the caller was told.
type receipt struct {
	verdict verdict.Verdict
	count   int
}

// approvals is the sequential specification: a request runs at the first submission that runs it, and all later ones
// get that answer. Not-run changes nothing.
var approvals = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyKeys)
		for _, op := range history {
			key := op.Input.(approval).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		count, in, out := state.(int), input.(approval), output.(receipt)
		switch {
		case in.read && out.count != count, out.verdict == verdict.Ran && out.count != 1:
			return nil
		case in.read, out.verdict == verdict.NotRun:
			return []any{count}
		case out.verdict == verdict.Ran:
			return []any{1}
		}
		return []any{count, 1}
	},
}).ToModel()

// world holds the store, the upstream and the present incarnation of each node.
type world struct {
	t       *testing.T
	seed    uint64
	began   time.Time
	memory  *memory
	mu      sync.Mutex
	counts  [historyKeys]int
	holders [historyKeys]int
	nodes   [historyNodes]*Claims
	history []porcupine.Operation
}

// actor is one thread of control with its own random numbers, so that a seed gives one history.
type actor struct {
	*world
	faults
}

func (w *world) actor(id uint64) *actor {
	return &actor{world: w, faults: faults{rand.New(rand.NewPCG(w.seed, id))}}
}

// context returns a context that meets store faults, with the deadline of a request.
func (a *actor) context() (context.Context, context.CancelFunc) {
	ctx := context.WithValue(context.Background(), faultsKey{}, a.faults)
	return context.WithTimeout(ctx, requestTimeout)
}

// pause is mostly short and at times longer than a request may take.
func (a *actor) pause() {
	if a.chance(10) {
		a.delay(2 * requestTimeout)
	}
	a.delay(20 * time.Millisecond)
}

func (w *world) node(i int) *Claims {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// replace gives a node its next incarnation. Threads of the earlier one go on, as a paused process may.
func (w *world) replace(i int, incarnation model.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	node := model.NodeID(fmt.Sprint(i))
	// In every other history the nodes forget what they know of ended claims almost at once.
	options := Options{MaxOperations: []int{1, 0}[w.seed%2]}
	w.nodes[i] = NewClaims(&lossyStore{memory: w.memory}, node, incarnation, options)
}

// hold counts the holders of a key that have dispatched and have no outcome yet.
func (w *world) hold(key, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[key] += change
	if w.holders[key] > 1 {
		w.t.Errorf("key %d has %d holders that dispatch", key, w.holders[key])
	}
}

// run is the upstream. It returns the verdict that the dispatch gets.
func (a *actor) run(key int) receipt {
	a.delay(time.Second)
	if a.chance(25) {
		return receipt{verdict: verdict.NotRun}
	}
	a.mu.Lock()
	a.counts[key]++
	count := a.counts[key]
	a.mu.Unlock()
	a.delay(time.Second)
	if a.chance(15) {
		return receipt{verdict: verdict.MayHaveRun}
	}
	return receipt{verdict: verdict.Ran, count: count}
}

// submit is one accepting node's handling of a keyed request.
func (a *actor) submit(key int) receipt {
	ctx, cancel := a.context()
	defer cancel()
	claims := a.node(a.IntN(historyNodes))
	result, refused := claims.Begin(ctx, testService, fmt.Sprint(key), uint64(key))
	for range 40 {
		switch {
		case refused != nil:
			return receipt{verdict: refused.Verdict}
		case result.Replay != nil:
			return receipt{verdict: verdict.Ran, count: result.Replay.Answer.Status}
		case result.Grant != nil:
			return a.dispatch(ctx, result.Grant, key)
		}
		op := a.ask(claims, result.Running)
		switch op.State {
		case StateAnswered:
			return receipt{verdict: verdict.Ran, count: op.Answer.Status}
		case StateNotRun:
			a.pause()
			result, refused = claims.TakeOver(ctx, result.Running)
		case StateUnknown:
			_ = claims.Abandon(ctx, result.Running)
			return receipt{verdict: verdict.MayHaveRun}
		case StateMayHaveRun:
			return receipt{verdict: verdict.MayHaveRun}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return receipt{verdict: verdict.MayHaveRun}
}

// ask is the Operation call to the holder; an earlier incarnation is not there any more.
func (a *actor) ask(claims *Claims, running *Running) Operation {
	a.pause()
	if !running.Local {
		var i int
		_, _ = fmt.Sscan(string(running.Node), &i)
		claims = a.node(i)
	}
	if claims.incarnation != running.Incarnation {
		return Operation{State: StateUnknown}
	}
	op := claims.Operation(running.Claim)
	a.pause()
	return op
}

// dispatch is the holder: it pauses at every point at which another one could get in between.
func (a *actor) dispatch(ctx context.Context, grant *Grant, key int) receipt {
	for range 2 {
		a.pause()
		allowed := grant.MayDispatch(time.Now())
		a.pause()
		if !allowed || !grant.Dispatched() {
			break
		}
		a.hold(key, 1)
		a.pause()
		out := a.run(key)
		a.hold(key, -1)
		a.pause()
		switch out.verdict {
		case verdict.Ran:
			answer := &admission.Answer{Status: out.count, Body: make([]byte, a.IntN(10)*MaxRecordedBytes/8)}
			_ = grant.Record(ctx, answer)
			return out
		case verdict.MayHaveRun:
			_ = grant.Uncertain(ctx, verdict.UpstreamLost)
			return out
		}
		grant.NotRun()
	}
	if err := grant.Release(ctx); err == ErrDispatched {
		a.t.Error("a claim without a run is not released")
	}
	return receipt{verdict: verdict.NotRun}
}

func (w *world) record(in approval, out receipt, call, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: len(w.history), Input: in, Output: out,
		Call: call.Sub(w.began).Nanoseconds(), Return: end.Sub(w.began).Nanoseconds(),
	})
}

// disturb replaces nodes, takes the store down and lets nodes settle what the store did not take.
func (a *actor) disturb(stop <-chan struct{}) {
	for incarnation := model.Incarnation(2); ; incarnation++ {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Second):
		}
		i := a.IntN(historyNodes)
		if a.chance(15) {
			a.replace(i, incarnation)
		}
		down := a.chance(15)
		a.memory.mu.Lock()
		a.memory.down = down
		a.memory.mu.Unlock()
		ctx, cancel := a.context()
		_, _ = a.node(i).Collect(ctx, nil, 20)
		cancel()
	}
}

// call is a caller: it sends the request of its key, and again after an outcome that did not satisfy it.
func (a *actor) call(key int, open chan<- porcupine.Operation) {
	a.delay(20 * time.Second)
	for range 3 {
		start := time.Now()
		out := a.submit(key)
		if a.chance(20) {
			// The reply is lost, so the caller knows nothing.
			out = receipt{verdict: verdict.MayHaveRun}
		}
		if out.verdict == verdict.MayHaveRun {
			open <- porcupine.Operation{Input: approval{key: key}, Output: out, Call: start.Sub(a.began).Nanoseconds()}
		} else {
			a.record(approval{key: key}, out, start, time.Now())
		}
		if out.verdict == verdict.Ran {
			return
		}
		a.delay(10 * time.Second)
	}
}

// play runs one history and returns it.
func (w *world) play() []porcupine.Operation {
	stop := make(chan struct{})
	w.began = time.Now()
	for i := range historyNodes {
		w.replace(i, 1)
	}
	main := w.actor(0)
	disturber := w.actor(main.Uint64())
	go disturber.disturb(stop)
	open := make(chan porcupine.Operation, 3*historyKeys*historyCallers)
	var callers sync.WaitGroup
	for key := range historyKeys {
		for range historyCallers {
			caller := w.actor(main.Uint64())
			callers.Go(func() { caller.call(key, open) })
		}
	}
	callers.Wait()
	close(stop)
	close(open)
	time.Sleep(10 * time.Minute)
	// A request that may have run may do so until the end.
	for op := range open {
		w.record(op.Input.(approval), op.Output.(receipt), w.began.Add(time.Duration(op.Call)), time.Now())
	}
	for key, count := range w.counts {
		w.record(approval{key: key, read: true}, receipt{count: count}, time.Now().Add(1), time.Now().Add(2))
	}
	return w.history
}

// Guards against a keyed request that runs twice, that runs after its callers were all told not-run, or whose key has
// two holders: with lost and late store writes, a store that is down, holders that pause longer than their deadline
// between check and dispatch, and holders that are replaced while they go on.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	var verdicts [4]int
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{t: t, seed: seed, memory: newMemory()}
				history := w.play()
				if !porcupine.CheckOperations(approvals, history) {
					t.Fatalf("history is not possible: %v", history)
				}
				for _, op := range history {
					verdicts[op.Output.(receipt).verdict]++
				}
			})
		})
	}
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if verdicts[v] < historySeeds {
			t.Errorf("only %d operations ended with %s, so the histories show little", verdicts[v], v)
		}
	}
	t.Logf("not-run %d, may-have-run %d, ran %d", verdicts[verdict.NotRun], verdicts[verdict.MayHaveRun], verdicts[verdict.Ran])
}
