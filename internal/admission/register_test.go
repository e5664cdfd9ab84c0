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
	silenceAfter    = 2 * time.Second
)

// charge is one operation on an account: it adds 1, or only reads.
type charge struct {
	account int
	read    bool
}

// receipt is what the caller was told.
type receipt struct {
	verdict verdict.Verdict
	count   int
}

// accounts is the sequential specification: not-run changes nothing, ran adds 1 and returns the count, may-have-run does
// either.
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

// world holds the accounts, the present admitting node, and a network that delays, repeats and loses messages.
type world struct {
	mu      sync.Mutex
	seed    uint64
	records int
	began   time.Time
	counts  [historyAccounts]int
	node    *admitting
	serial  uint64
	history []porcupine.Operation
}

// actor is one thread of control with its own random numbers, so that a seed gives one history.
type actor struct {
	*world
	rng *rand.Rand
}

// actor returns an actor whose random numbers depend on the seed and its ID alone.
func (w *world) actor(id uint64) *actor {
	return &actor{world: w, rng: rand.New(rand.NewPCG(w.seed, id))}
}

// fork returns an actor for a new thread of control.
func (w *actor) fork() *actor { return w.actor(w.rng.Uint64()) }

func (w *actor) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *actor) draw(longest time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(longest)))
}

func (w *actor) sleep(longest time.Duration) { time.Sleep(w.draw(longest)) }

// transfer is the way of one message: fast, or slow beyond every time limit.
func (w *actor) transfer() {
	if w.chance(10) {
		w.sleep(100 * time.Second)
	}
	w.sleep(10 * time.Millisecond)
}

func (w *world) present() *admitting {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.node
}

// run is the upstream.
func (w *actor) run(account int) (Outcome, int) {
	w.sleep(time.Second)
	switch {
	case w.chance(10):
		return Shed, 0
	case w.chance(5):
		return Unreachable, 0
	case w.chance(5):
		return Lost, 0
	}
	w.mu.Lock()
	w.counts[account]++
	count := w.counts[account]
	w.mu.Unlock()
	w.sleep(time.Second)
	if w.chance(10) {
		return Lost, 0
	}
	return Answered, count
}

func (w *world) record(in charge, out receipt, call, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: len(w.history), Input: in, Output: out,
		Call: call.Sub(w.began).Nanoseconds(), Return: end.Sub(w.began).Nanoseconds(),
	})
}

// admitting is one incarnation of the admitting node.
type admitting struct {
	incarnation model.Incarnation
	began       time.Time
	mu          sync.Mutex
	point       *Point
	frozen      time.Time
	waiting     map[model.AttemptID]chan bool
}

func newAdmitting(incarnation model.Incarnation, records int) *admitting {
	limits := DefaultLimits()
	limits.QueuePerTarget = 2
	limits.Records = records
	return &admitting{incarnation: incarnation, began: time.Now(), point: NewPoint(limits, incarnation), waiting: map[model.AttemptID]chan bool{}}
}

func (a *admitting) clock() time.Duration { return time.Since(a.began) }

// thaw returns once the process is not frozen.
func (a *admitting) thaw(w *actor) {
	a.mu.Lock()
	frozen := time.Until(a.frozen)
	a.mu.Unlock()
	if frozen > 0 {
		time.Sleep(frozen + w.draw(time.Millisecond))
	}
}

// tick announces the target and lets time pass until the incarnation is replaced.
func (a *admitting) tick(w *actor, stop <-chan struct{}) {
	for w.present() == a {
		a.thaw(w)
		a.mu.Lock()
		_ = a.point.Announce(a.clock(), Announcement{Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 2, Phase: model.PhaseReady})
		for _, event := range a.point.Expire(a.clock()) {
			a.wake(event.Attempt, event.Kind)
		}
		a.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt := range a.waiting {
		a.wake(attempt, EventRefused)
	}
}

func (a *admitting) wake(attempt model.AttemptID, kind EventKind) {
	if waiting := a.waiting[attempt]; waiting != nil && kind <= EventRefused {
		waiting <- kind == EventGranted
		delete(a.waiting, attempt)
	}
}

// serve handles one frame and returns what the trailer says.
func (a *admitting) serve(w *actor, r Request, account int) receipt {
	a.thaw(w)
	a.mu.Lock()
	d := a.point.Admit(a.clock(), r)
	granted := make(chan bool, 1)
	if d.Kind == Queued {
		a.waiting[r.Attempt] = granted
	}
	a.mu.Unlock()
	if d.Kind == Refused {
		return receipt{verdict: d.Err.Verdict}
	}
	if d.Kind == Queued && !<-granted {
		return receipt{verdict: verdict.NotRun}
	}
	a.thaw(w)
	outcome, count := w.run(account)
	a.thaw(w)
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := &Answer{Status: count}
	for _, grant := range a.point.Finish(a.clock(), r.Attempt, Result{Outcome: outcome, Answer: answer}) {
		a.wake(grant.Attempt, EventGranted)
	}
	return told(a.point.Lookup(a.clock(), r.Attempt, a.incarnation, false))
}

// told returns what a status allows the accepting node to report.
func told(status Status) receipt {
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

// submit is the accepting node: it sends attempts until it has something to report that is not not-run, or gives up.
func (w *actor) submit(account int) receipt {
	for range 3 {
		out := w.attempt(account)
		if out.verdict != verdict.NotRun || w.chance(30) {
			return out
		}
	}
	return receipt{verdict: verdict.NotRun}
}

func (w *actor) attempt(account int) receipt {
	node := w.present()
	w.mu.Lock()
	w.serial++
	now := node.clock()
	r := Request{
		Attempt: model.NewAttemptID("n", 1, w.serial), Service: testService, Target: "a", Incarnation: node.incarnation,
		AdmitBefore: now + 25*time.Second, Deadline: now + 20*time.Second,
	}
	w.mu.Unlock()
	replies := make(chan receipt, 1)
	network := w.fork()
	go func() {
		network.transfer()
		out := network.present().serve(network, r, account)
		network.transfer()
		if !network.chance(20) {
			replies <- out
		}
	}()
	if w.chance(10) {
		// The same frame once more; nobody reads its reply.
		repeated := w.fork()
		go func() {
			repeated.transfer()
			repeated.present().serve(repeated, r, account)
		}()
	}
	select {
	case out := <-replies:
		return out
	case <-time.After(silenceAfter):
	}
	return w.settle(r)
}

// settle asks for the attempt after a silence, at times only after the accepting node was frozen itself.
func (w *actor) settle(r Request) receipt {
	if w.chance(20) {
		w.sleep(200 * time.Second)
	}
	for range 20 {
		w.transfer()
		node := w.present()
		node.thaw(w)
		node.mu.Lock()
		out := told(node.point.Lookup(node.clock(), r.Attempt, r.Incarnation, true))
		node.mu.Unlock()
		w.transfer()
		if out.verdict != verdict.Unknown && !w.chance(20) {
			return out
		}
		time.Sleep(500 * time.Millisecond)
	}
	return receipt{verdict: verdict.MayHaveRun}
}

// disturb freezes the admitting node and replaces it until the callers are done.
func (w *actor) disturb(stop, stopTicks <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(7 * time.Second):
		}
		node := w.present()
		switch {
		case w.chance(25):
			until := time.Now().Add(w.draw(90 * time.Second))
			node.mu.Lock()
			node.frozen = until
			node.mu.Unlock()
		case w.chance(5):
			replacement := newAdmitting(node.incarnation+1, w.records)
			w.mu.Lock()
			w.node = replacement
			w.mu.Unlock()
			go replacement.tick(w.fork(), stopTicks)
		}
	}
}

// play runs one history and returns it.
func (w *world) play() []porcupine.Operation {
	stop, stopTicks := make(chan struct{}), make(chan struct{})
	w.began = time.Now()
	w.node = newAdmitting(1, w.records)
	main := w.actor(0)
	go w.node.tick(main.fork(), stopTicks)
	go main.fork().disturb(stop, stopTicks)
	var callers sync.WaitGroup
	type open struct {
		in   charge
		call time.Time
	}
	uncertain := make(chan open, historyAccounts*historyCharges)
	for account := range historyAccounts {
		for range historyCharges {
			caller := main.fork()
			callers.Go(func() {
				caller.sleep(20 * time.Second)
				in, call := charge{account: account}, time.Now()
				out := caller.submit(account)
				if out.verdict == verdict.MayHaveRun {
					uncertain <- open{in, call}
					return
				}
				w.record(in, out, call, time.Now())
			})
		}
	}
	callers.Wait()
	close(stop)
	close(uncertain)
	time.Sleep(4 * time.Minute)
	close(stopTicks)
	// A request that may have run may do so until the end.
	for op := range uncertain {
		w.record(op.in, receipt{verdict: verdict.MayHaveRun}, op.call, time.Now())
	}
	time.Sleep(time.Second)
	for account, count := range w.counts {
		w.record(charge{account: account, read: true}, receipt{count: count}, time.Now(), time.Now().Add(1))
	}
	return w.history
}

// Guards against a request that runs after "not run" was reported, or that runs twice: with lost replies, late and
// repeated frames, frozen nodes on both sides and replaced incarnations.
func TestAttemptsRunAtMostOnceAndNeverAfterNotRun(t *testing.T) {
	var verdicts [4]int
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Every other history keeps so few records that watermarks take their place within seconds.
				w := &world{seed: seed, records: []int{3, defaultRecords}[seed%2]}
				history := w.play()
				if !porcupine.CheckOperations(accounts, history) {
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
