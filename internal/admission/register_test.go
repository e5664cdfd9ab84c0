package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	historySeeds    = 100
	historyAccounts = 4
	historyCharges  = 4
	replyTimeout    = 2 * time.Second
)

// charge is one operation on an account. It adds 1 or only reads the count.
type charge struct {
	account int
	read    bool
}

// receipt is the result of an operation as reported to the caller.
type receipt struct {
	verdict verdict.Verdict
	count   int
}

// accounts is the sequential specification: not-run changes nothing, ran adds 1 and returns the count, and may-have-run
// either adds 1 or changes nothing.
var accounts = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyAccounts)
		for _, op := range history {
			account := op.Input.(charge).account
			parts[account] = append(parts[account], op)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		count, in, out := state.(int), input.(charge), output.(receipt)
		switch {
		case in.read && out.count != count, out.verdict == verdict.Ran && out.count != count+1:
			return nil
		case in.read, out.verdict == verdict.NotRun:
			return []any{count}
		case out.verdict == verdict.Ran:
			return []any{count + 1}
		}
		return []any{count, count + 1}
	},
}).ToModel()

// simulation holds the accounts and the current admitting node. Its network delays, duplicates and loses messages.
type simulation struct {
	mu        sync.Mutex
	seed      uint64
	records   int
	startTime time.Time
	counts    [historyAccounts]int
	node      *admittingNode
	serial    uint64
	history   []porcupine.Operation
}

// actor is one goroutine with its own random number generator, so that a seed always produces the same history.
type actor struct {
	*simulation
	rng *rand.Rand
}

// actor returns an actor whose random numbers depend only on the seed and the ID.
func (s *simulation) actor(id uint64) *actor {
	return &actor{simulation: s, rng: rand.New(rand.NewPCG(s.seed, id))}
}

// fork returns an actor for a new goroutine.
func (a *actor) fork() *actor { return a.actor(a.rng.Uint64()) }

func (a *actor) chance(percent int) bool { return a.rng.IntN(100) < percent }

func (a *actor) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(a.rng.Int64N(int64(longest)))
}

func (a *actor) sleep(longest time.Duration) { time.Sleep(a.randomDuration(longest)) }

// deliver waits for the delivery time of one message. One in ten messages may take longer than every time limit.
func (a *actor) deliver() {
	if a.chance(10) {
		a.sleep(100 * time.Second)
	}
	a.sleep(10 * time.Millisecond)
}

func (s *simulation) current() *admittingNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// run simulates the upstream.
func (a *actor) run(account int) (Outcome, int) {
	a.sleep(time.Second)
	switch {
	case a.chance(10):
		return Shed, 0
	case a.chance(5):
		return Unreachable, 0
	case a.chance(5):
		return Lost, 0
	}
	a.mu.Lock()
	a.counts[account]++
	count := a.counts[account]
	a.mu.Unlock()
	a.sleep(time.Second)
	if a.chance(10) {
		return Lost, 0
	}
	return Answered, count
}

func (s *simulation) record(in charge, out receipt, call, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Input: in, Output: out,
		Call: call.Sub(s.startTime).Nanoseconds(), Return: end.Sub(s.startTime).Nanoseconds(),
	})
}

// admittingNode is one incarnation of the admitting node.
type admittingNode struct {
	incarnation model.Incarnation
	startTime   time.Time
	mu          sync.Mutex
	point       *Point
	frozen      time.Time
	waiting     map[model.AttemptID]chan bool
}

func newAdmittingNode(incarnation model.Incarnation, records int) *admittingNode {
	limits := DefaultLimits()
	limits.QueuePerTarget = 2
	limits.Records = records
	return &admittingNode{incarnation: incarnation, startTime: time.Now(), point: NewPoint(limits, incarnation), waiting: map[model.AttemptID]chan bool{}}
}

func (n *admittingNode) clock() time.Duration { return time.Since(n.startTime) }

// waitWhileFrozen blocks while the process is frozen.
func (n *admittingNode) waitWhileFrozen(act *actor) {
	n.mu.Lock()
	frozen := time.Until(n.frozen)
	n.mu.Unlock()
	if frozen > 0 {
		time.Sleep(frozen + act.randomDuration(time.Millisecond))
	}
}

// tick announces the target and expires state every 250 ms until the incarnation is replaced. Then it refuses all waiting
// attempts.
func (n *admittingNode) tick(act *actor, stop <-chan struct{}) {
	for act.current() == n {
		n.waitWhileFrozen(act)
		n.mu.Lock()
		_ = n.point.Announce(n.clock(), Announcement{Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 2, Phase: model.PhaseReady})
		for _, event := range n.point.Expire(n.clock()) {
			n.wake(event.Attempt, event.Kind)
		}
		n.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for attempt := range n.waiting {
		n.wake(attempt, EventRefused)
	}
}

func (n *admittingNode) wake(attempt model.AttemptID, kind EventKind) {
	if waiting := n.waiting[attempt]; waiting != nil && kind <= EventRefused {
		waiting <- kind == EventGranted
		delete(n.waiting, attempt)
	}
}

// serve handles one frame and returns the content of its trailer.
func (n *admittingNode) serve(act *actor, r Request, account int) receipt {
	n.waitWhileFrozen(act)
	n.mu.Lock()
	d := n.point.Admit(n.clock(), r)
	granted := make(chan bool, 1)
	if d.Kind == Queued {
		n.waiting[r.Attempt] = granted
	}
	n.mu.Unlock()
	if d.Kind == Refused {
		return receipt{verdict: d.Err.Verdict}
	}
	if d.Kind == Queued && !<-granted {
		return receipt{verdict: verdict.NotRun}
	}
	n.waitWhileFrozen(act)
	outcome, count := act.run(account)
	n.waitWhileFrozen(act)
	n.mu.Lock()
	defer n.mu.Unlock()
	answer := &Answer{Status: count}
	for _, grant := range n.point.Finish(n.clock(), r.Attempt, Result{Outcome: outcome, Answer: answer}) {
		n.wake(grant.Attempt, EventGranted)
	}
	return receiptFor(n.point.Lookup(n.clock(), r.Attempt, n.incarnation, false))
}

// receiptFor returns the result that the accepting node may report for a status.
func receiptFor(status Status) receipt {
	switch status.State {
	case StateAnswered:
		return receipt{verdict: verdict.Ran, count: status.Answer.Status}
	case StateRefused:
		return receipt{verdict: verdict.NotRun}
	case StateNotAdmitted:
		if status.Fenced {
			return receipt{verdict: verdict.NotRun}
		}
	case StateRunning:
		return receipt{}
	}
	return receipt{verdict: verdict.MayHaveRun}
}

// submit simulates the accepting node. It sends up to three attempts until one ends with another verdict than not-run. At
// random it stops earlier.
func (a *actor) submit(account int) receipt {
	for range 3 {
		out := a.attempt(account)
		if out.verdict != verdict.NotRun || a.chance(30) {
			return out
		}
	}
	return receipt{verdict: verdict.NotRun}
}

func (a *actor) attempt(account int) receipt {
	node := a.current()
	a.mu.Lock()
	a.serial++
	now := node.clock()
	r := Request{
		Attempt: model.NewAttemptID("n", 1, a.serial), Service: testService, Target: "a", Incarnation: node.incarnation,
		AdmitBefore: now + 25*time.Second, Deadline: now + 20*time.Second,
	}
	a.mu.Unlock()
	replies := make(chan receipt, 1)
	network := a.fork()
	go func() {
		network.deliver()
		out := network.current().serve(network, r, account)
		network.deliver()
		if !network.chance(20) {
			replies <- out
		}
	}()
	if a.chance(10) {
		// A duplicate of the frame. Its response is discarded.
		duplicate := a.fork()
		go func() {
			duplicate.deliver()
			duplicate.current().serve(duplicate, r, account)
		}()
	}
	select {
	case out := <-replies:
		return out
	case <-time.After(replyTimeout):
	}
	return a.resolveOutcome(r)
}

// resolveOutcome looks up the attempt after the response timed out. At random the accepting node is frozen before that.
func (a *actor) resolveOutcome(r Request) receipt {
	if a.chance(20) {
		a.sleep(200 * time.Second)
	}
	for range 20 {
		a.deliver()
		node := a.current()
		node.waitWhileFrozen(a)
		node.mu.Lock()
		out := receiptFor(node.point.Lookup(node.clock(), r.Attempt, r.Incarnation, true))
		node.mu.Unlock()
		a.deliver()
		if out.verdict != verdict.Unknown && !a.chance(20) {
			return out
		}
		time.Sleep(500 * time.Millisecond)
	}
	return receipt{verdict: verdict.MayHaveRun}
}

// injectFaults freezes and replaces the admitting node at random until the callers are done.
func (a *actor) injectFaults(stop, stopTicks <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(7 * time.Second):
		}
		node := a.current()
		switch {
		case a.chance(25):
			until := time.Now().Add(a.randomDuration(90 * time.Second))
			node.mu.Lock()
			node.frozen = until
			node.mu.Unlock()
		case a.chance(5):
			replacement := newAdmittingNode(node.incarnation+1, a.records)
			a.mu.Lock()
			a.node = replacement
			a.mu.Unlock()
			go replacement.tick(a.fork(), stopTicks)
		}
	}
}

// runHistory runs the simulation and returns the history of its operations.
func (s *simulation) runHistory() []porcupine.Operation {
	stop, stopTicks := make(chan struct{}), make(chan struct{})
	s.startTime = time.Now()
	s.node = newAdmittingNode(1, s.records)
	main := s.actor(0)
	go s.node.tick(main.fork(), stopTicks)
	go main.fork().injectFaults(stop, stopTicks)
	var callers sync.WaitGroup
	type openOperation struct {
		in   charge
		call time.Time
	}
	uncertain := make(chan openOperation, historyAccounts*historyCharges)
	for account := range historyAccounts {
		for range historyCharges {
			caller := main.fork()
			callers.Go(func() {
				caller.sleep(20 * time.Second)
				in, call := charge{account: account}, time.Now()
				out := caller.submit(account)
				if out.verdict == verdict.MayHaveRun {
					uncertain <- openOperation{in, call}
					return
				}
				s.record(in, out, call, time.Now())
			})
		}
	}
	callers.Wait()
	close(stop)
	close(uncertain)
	time.Sleep(4 * time.Minute)
	close(stopTicks)
	// A request with verdict may-have-run may still run until the end of the history.
	for op := range uncertain {
		s.record(op.in, receipt{verdict: verdict.MayHaveRun}, op.call, time.Now())
	}
	time.Sleep(time.Second)
	for account, count := range s.counts {
		s.record(charge{account: account, read: true}, receipt{count: count}, time.Now(), time.Now().Add(1))
	}
	return s.history
}

// Guards against a request that runs twice, or that runs after not-run was reported. The faults are lost responses, delayed
// and duplicate frames, frozen accepting and admitting nodes, and replaced incarnations.
func TestAttemptsRunAtMostOnceAndNeverAfterNotRun(t *testing.T) {
	var verdicts [4]int
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Every other history keeps only three records, so that watermarks replace them within seconds.
				s := &simulation{seed: seed, records: []int{3, defaultRecords}[seed%2]}
				history := s.runHistory()
				if !porcupine.CheckOperations(accounts, history) {
					t.Fatalf("history is not linearizable: %v", history)
				}
				for _, op := range history {
					verdicts[op.Output.(receipt).verdict]++
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
