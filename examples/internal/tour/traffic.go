package tour

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// traffic sends one flow through all nodes in turn.
type traffic struct {
	flow   Flow
	fleet  *fleettest.Fleet
	client *fleettest.Client
	tally  *tally
	// half is closed when half of the requests were answered, so that an event can happen under traffic.
	half chan struct{}
	next atomic.Int64
	done atomic.Int64
}

func newTraffic(flow Flow, fleet *fleettest.Fleet, client *fleettest.Client) *traffic {
	return &traffic{flow: flow, fleet: fleet, client: client, tally: newTally(), half: make(chan struct{})}
}

// run sends all requests of the flow. send sends the i-th through the node.
func (t *traffic) run(ctx context.Context, send func(context.Context, *traffic, int, *fleettest.Node)) {
	var wait sync.WaitGroup
	for range t.flow.Workers {
		wait.Go(func() { t.work(ctx, send) })
	}
	wait.Wait()
}

func (t *traffic) work(ctx context.Context, send func(context.Context, *traffic, int, *fleettest.Node)) {
	for {
		i := int(t.next.Add(1)) - 1
		if i >= t.flow.Count || ctx.Err() != nil {
			return
		}
		send(ctx, t, i, t.node(i))
		if int(t.done.Add(1)) == (t.flow.Count+1)/2 {
			close(t.half)
		}
	}
}

func (t *traffic) node(i int) *fleettest.Node { return t.fleet.Nodes[i%len(t.fleet.Nodes)] }

// read sends one idempotent request. Any answer but a whole one is a fault: the fleet has capacity for all of them.
func read(ctx context.Context, t *traffic, i int, node *fleettest.Node) {
	answer := t.client.Fetch(ctx, node.Callers, fleettest.Request{
		Path:  t.flow.Path,
		Token: fmt.Sprintf("%s-%d", t.flow.Service, i),
		Size:  t.flow.Size,
		Work:  t.flow.Work,
	})
	t.tally.add(answer)
	if !answer.Whole {
		t.tally.fault(fmt.Sprintf("%s %d through %s: %s %v", t.flow.What, i, node.ID, answer.Outcome(), answer.Err))
	}
}

// operate sends one operation, and resends it with the same key through other nodes while it is told that the
// operation was not run.
func operate(ctx context.Context, t *traffic, i int, node *fleettest.Node) {
	request := fleettest.Request{Path: t.flow.Path, Token: operationName(t.flow, i), Work: t.flow.Work}
	request.Key = request.Token
	var answer fleettest.Answer
	for try := range maxSends {
		answer = t.client.Approve(ctx, t.node(i+try).Callers, request)
		t.tally.add(answer)
		if answer.Verdict != fleettest.NotRun {
			break
		}
	}
	t.tally.settle(request.Token, answer)
	if !answer.Whole {
		t.tally.fault(fmt.Sprintf("%s %d through %s: %s %v", t.flow.What, i, node.ID, answer.Outcome(), answer.Err))
	}
}

// maxSends is how often a caller sends an operation that was refused as not run.
const maxSends = 3

func operationName(flow Flow, i int) string { return fmt.Sprintf("%s-%d", flow.Service, i) }
