package tour

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// traffic sends the requests of one flow through all nodes in turn.
type traffic struct {
	flow   Flow
	fleet  *fleettest.Fleet
	client *fleettest.Client
	tally  *tally
	// halfDone is closed when half of the requests have ended. It triggers the injected faults while traffic continues.
	halfDone chan struct{}
	next     atomic.Int64
	done     atomic.Int64
}

func newTraffic(flow Flow, fleet *fleettest.Fleet, client *fleettest.Client) *traffic {
	return &traffic{flow: flow, fleet: fleet, client: client, tally: newTally(), halfDone: make(chan struct{})}
}

// run sends all requests of the flow. It calls send for request i with the node to send it through first.
func (t *traffic) run(ctx context.Context, send func(context.Context, *traffic, int, *fleettest.Node)) {
	var wait sync.WaitGroup
	for range t.flow.Workers {
		wait.Go(func() { t.runWorker(ctx, send) })
	}
	wait.Wait()
}

func (t *traffic) runWorker(ctx context.Context, send func(context.Context, *traffic, int, *fleettest.Node)) {
	for {
		i := int(t.next.Add(1)) - 1
		if i >= t.flow.Count || ctx.Err() != nil {
			return
		}
		send(ctx, t, i, t.node(i))
		if int(t.done.Add(1)) == (t.flow.Count+1)/2 {
			close(t.halfDone)
		}
	}
}

func (t *traffic) node(i int) *fleettest.Node { return t.fleet.Nodes[i%len(t.fleet.Nodes)] }

// sendRead sends one idempotent request, with client retries through other nodes until the response is complete. Every
// attempt is counted.
func sendRead(ctx context.Context, t *traffic, i int, _ *fleettest.Node) {
	request := fleettest.Request{
		Path: t.flow.Path, Token: fmt.Sprintf("%s-%d", t.flow.Service, i), Size: t.flow.Size, Work: t.flow.Work,
	}
	answer := t.sendWithRetries(ctx, i, func(node *fleettest.Node) (fleettest.Answer, bool) {
		answer := t.client.Fetch(ctx, node.Callers, request)
		return answer, answer.Complete
	})
	t.requireComplete(i, answer)
}

// sendOperation sends one operation with an idempotency key, with client retries under the same key while the response
// reports that it was not run.
func sendOperation(ctx context.Context, t *traffic, i int, _ *fleettest.Node) {
	request := fleettest.Request{Path: t.flow.Path, Token: operationName(t.flow, i), Work: t.flow.Work}
	request.Key = request.Token
	answer := t.sendWithRetries(ctx, i, func(node *fleettest.Node) (fleettest.Answer, bool) {
		answer := t.client.RunOperation(ctx, node.Callers, request)
		return answer, answer.Verdict != fleettest.NotRun
	})
	t.tally.recordOperation(request.Token, answer)
	t.requireComplete(i, answer)
}

const (
	// maxAttempts is the maximum number of times that a caller sends a request.
	maxAttempts = 40
	// retryDelay is the time between two attempts of a caller.
	retryDelay = 100 * time.Millisecond
)

// sendWithRetries calls send with one node after the other until send returns true. It returns the last response.
func (t *traffic) sendWithRetries(ctx context.Context, i int, send func(*fleettest.Node) (fleettest.Answer, bool)) fleettest.Answer {
	for attempt := 0; ; attempt++ {
		answer, done := send(t.node(i + attempt))
		t.tally.add(answer)
		if done || attempt == maxAttempts-1 || ctx.Err() != nil {
			return answer
		}
		time.Sleep(retryDelay)
	}
}

// requireComplete adds a violation if the last response to a request is not complete.
func (t *traffic) requireComplete(i int, answer fleettest.Answer) {
	if !answer.Complete {
		t.tally.addViolation(fmt.Sprintf("%s %d: %s %v", t.flow.Label, i, answer.Outcome(), answer.Err))
	}
}

func operationName(flow Flow, i int) string { return fmt.Sprintf("%s-%d", flow.Service, i) }
