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

// keyedOp is one operation on a key: it sends the request of the key, or reads how often the request has run.
type keyedOp struct {
	key  int
	read bool
}

// opResult is the result that the caller received.
type opResult struct {
	verdict verdict.Verdict
	count   int
}

// atMostOnceModel is the sequential specification: a request runs at most once, and every later submission gets the
// response of that run. Not-run changes nothing.
var atMostOnceModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyKeys)
		for _, op := range history {
			key := op.Input.(keyedOp).key
			parts[key] = append(parts[key], op)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		count, in, out := state.(int), input.(keyedOp), output.(opResult)
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

// simulation contains the store, the upstream and the current incarnation of each node.
type simulation struct {
	t       *testing.T
	seed    uint64
	start   time.Time
	memory  *memory
	mu      sync.Mutex
	counts  [historyKeys]int
	holders [historyKeys]int
	nodes   [historyNodes]*Claims
	history []porcupine.Operation
}

// actor is one goroutine with its own random source, so that a seed determines the history.
type actor struct {
	*simulation
	faults
}

func (s *simulation) actor(id uint64) *actor {
	return &actor{simulation: s, faults: faults{rand.New(rand.NewPCG(s.seed, id))}}
}

// context returns a context with store faults and the deadline of a request.
func (a *actor) context() (context.Context, context.CancelFunc) {
	ctx := context.WithValue(context.Background(), faultsKey{}, a.faults)
	return context.WithTimeout(ctx, requestTimeout)
}

// pause sleeps for a short time, or occasionally for longer than the timeout of a request.
func (a *actor) pause() {
	if a.chance(10) {
		a.delay(2 * requestTimeout)
	}
	a.delay(20 * time.Millisecond)
}

func (s *simulation) node(i int) *Claims {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// restartNode replaces a node by its next incarnation. Goroutines of the earlier one continue, as a paused process may.
func (s *simulation) restartNode(i int, incarnation model.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := model.NodeID(fmt.Sprint(i))
	// In every other history the nodes evict ended claims from their caches almost immediately.
	options := Options{MaxOperations: []int{1, 0}[s.seed%2]}
	s.nodes[i] = NewClaims(&lossyStore{memory: s.memory}, node, incarnation, options)
}

// changeHolders counts the holders of a key with an outstanding dispatch and fails the test if there are two.
func (s *simulation) changeHolders(key, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[key] += change
	if s.holders[key] > 1 {
		s.t.Errorf("key %d has %d holders that dispatch", key, s.holders[key])
	}
}

// runUpstream simulates the upstream. It returns the verdict for the dispatch.
func (a *actor) runUpstream(key int) opResult {
	a.delay(time.Second)
	if a.chance(25) {
		return opResult{verdict: verdict.NotRun}
	}
	a.mu.Lock()
	a.counts[key]++
	count := a.counts[key]
	a.mu.Unlock()
	a.delay(time.Second)
	if a.chance(15) {
		return opResult{verdict: verdict.MayHaveRun}
	}
	return opResult{verdict: verdict.Ran, count: count}
}

// handleRequest simulates the accepting node of a request with an idempotency key.
func (a *actor) handleRequest(key int) opResult {
	ctx, cancel := a.context()
	defer cancel()
	claims := a.node(a.IntN(historyNodes))
	result, refused := claims.Begin(ctx, testService, fmt.Sprint(key), uint64(key))
	for range 40 {
		switch {
		case refused != nil:
			return opResult{verdict: refused.Verdict}
		case result.Replay != nil:
			return opResult{verdict: verdict.Ran, count: result.Replay.Answer.Status}
		case result.Grant != nil:
			return a.dispatch(ctx, result.Grant, key)
		}
		op := a.queryHolder(claims, result.Running)
		switch op.State {
		case StateAnswered:
			return opResult{verdict: verdict.Ran, count: op.Answer.Status}
		case StateNotRun:
			a.pause()
			result, refused = claims.TakeOver(ctx, result.Running)
		case StateUnknown:
			_ = claims.MarkHolderLost(ctx, result.Running)
			return opResult{verdict: verdict.MayHaveRun}
		case StateMayHaveRun:
			return opResult{verdict: verdict.MayHaveRun}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return opResult{verdict: verdict.MayHaveRun}
}

// queryHolder simulates the Operation call to the holder. An earlier incarnation has terminated and reports nothing.
func (a *actor) queryHolder(claims *Claims, running *Running) Operation {
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

// dispatch simulates the holder of a claim. It pauses at every point at which another node could interleave.
func (a *actor) dispatch(ctx context.Context, grant *Grant, key int) opResult {
	for range 2 {
		a.pause()
		allowed := grant.MayDispatch(time.Now())
		a.pause()
		if !allowed || !grant.BeginDispatch() {
			break
		}
		a.changeHolders(key, 1)
		a.pause()
		out := a.runUpstream(key)
		a.changeHolders(key, -1)
		a.pause()
		switch out.verdict {
		case verdict.Ran:
			answer := &admission.Answer{Status: out.count, Body: make([]byte, a.IntN(10)*MaxRecordedBytes/8)}
			_ = grant.Record(ctx, answer)
			return out
		case verdict.MayHaveRun:
			_ = grant.RecordUncertain(ctx, verdict.UpstreamLost)
			return out
		}
		grant.RecordNotRun()
	}
	if err := grant.Release(ctx); err == ErrDispatched {
		a.t.Error("a claim without a run is not released")
	}
	return opResult{verdict: verdict.NotRun}
}

func (s *simulation) record(in keyedOp, out opResult, call, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Input: in, Output: out,
		Call: call.Sub(s.start).Nanoseconds(), Return: end.Sub(s.start).Nanoseconds(),
	})
}

// injectFaults restarts nodes, makes the store unavailable and lets nodes flush their pending writes.
func (a *actor) injectFaults(stop <-chan struct{}) {
	for incarnation := model.Incarnation(2); ; incarnation++ {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Second):
		}
		i := a.IntN(historyNodes)
		if a.chance(15) {
			a.restartNode(i, incarnation)
		}
		down := a.chance(15)
		a.memory.mu.Lock()
		a.memory.down = down
		a.memory.mu.Unlock()
		ctx, cancel := a.context()
		_, _ = a.node(i).CollectGarbage(ctx, nil, 20)
		cancel()
	}
}

// runCaller simulates a caller. It sends the request of its key, and retries unless the verdict is ran.
func (a *actor) runCaller(key int, unfinished chan<- porcupine.Operation) {
	a.delay(20 * time.Second)
	for range 3 {
		start := time.Now()
		out := a.handleRequest(key)
		if a.chance(20) {
			// The response is lost, so the outcome is unknown to the caller.
			out = opResult{verdict: verdict.MayHaveRun}
		}
		if out.verdict == verdict.MayHaveRun {
			unfinished <- porcupine.Operation{Input: keyedOp{key: key}, Output: out, Call: start.Sub(a.start).Nanoseconds()}
		} else {
			a.record(keyedOp{key: key}, out, start, time.Now())
		}
		if out.verdict == verdict.Ran {
			return
		}
		a.delay(10 * time.Second)
	}
}

// runHistory runs one history and returns it.
func (s *simulation) runHistory() []porcupine.Operation {
	stop := make(chan struct{})
	s.start = time.Now()
	for i := range historyNodes {
		s.restartNode(i, 1)
	}
	main := s.actor(0)
	disturber := s.actor(main.Uint64())
	go disturber.injectFaults(stop)
	unfinished := make(chan porcupine.Operation, 3*historyKeys*historyCallers)
	var callers sync.WaitGroup
	for key := range historyKeys {
		for range historyCallers {
			caller := s.actor(main.Uint64())
			callers.Go(func() { caller.runCaller(key, unfinished) })
		}
	}
	callers.Wait()
	close(stop)
	close(unfinished)
	time.Sleep(10 * time.Minute)
	// A request that may have run can take effect at any time until the end of the history.
	for op := range unfinished {
		s.record(op.Input.(keyedOp), op.Output.(opResult), s.start.Add(time.Duration(op.Call)), time.Now())
	}
	for key, count := range s.counts {
		s.record(keyedOp{key: key, read: true}, opResult{count: count}, time.Now().Add(1), time.Now().Add(2))
	}
	return s.history
}

// Guards against a keyed request that runs twice, that runs after all its callers received not-run, or whose key has two
// holders. The faults are lost and delayed store writes, an unavailable store, holders that pause beyond their deadline
// between check and dispatch, and holders that continue after their node has restarted.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	var verdicts [4]int
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &simulation{t: t, seed: seed, memory: newMemory()}
				history := s.runHistory()
				if !porcupine.CheckOperations(atMostOnceModel, history) {
					t.Fatalf("history is not possible: %v", history)
				}
				for _, op := range history {
					verdicts[op.Output.(opResult).verdict]++
				}
			})
		})
	}
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		if verdicts[v] < historySeeds {
			t.Errorf("only %d operations ended with %s, too few to cover this verdict", verdicts[v], v)
		}
	}
	t.Logf("not-run %d, may-have-run %d, ran %d", verdicts[verdict.NotRun], verdicts[verdict.MayHaveRun], verdicts[verdict.Ran])
}
