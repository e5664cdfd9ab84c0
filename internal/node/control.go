package node

import (
	"context"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// controlInterval is the time between two steps of the control loop.
	controlInterval = 100 * time.Millisecond
	// idleConnections is the time after which unused connections to other nodes are closed.
	idleConnections = 60 * time.Second
	// latencyWindow is the length of a window of the latency summaries.
	latencyWindow = time.Minute
	// collectInterval is the time between two rounds over old claims.
	collectInterval = time.Minute
	// collectCalls bounds the store calls of one round over old claims.
	collectCalls = 10
	// settleCalls bounds the store calls a second that make up for writes that an outage has left.
	settleCalls = 5
	// pathProbeTimeout bounds one try of a path that is avoided.
	pathProbeTimeout = time.Second
)

// control is the node's control loop: the passing of time at the admission point, the judgement of its targets, and the
// upkeep of paths and connections.
type control struct {
	node      *Node
	kick      chan struct{}
	detection *detection
	ejector   *ejector

	mu  sync.Mutex
	own []model.Target
}

func newControl(n *Node) *control {
	c := &control{node: n, kick: make(chan struct{}, 1)}
	c.detection = newDetection(n)
	c.ejector = newEjector(n)
	return c
}

// wake asks for a step at once. It never blocks.
func (c *control) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// targets returns the state of the targets beside this node.
func (c *control) targets() []model.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

// ejected returns the targets whose ejection permits this node honours.
func (c *control) ejected() map[model.TargetID]bool { return c.ejector.honoured() }

// scores returns the evidence against the targets beside this node.
func (c *control) scores() map[model.TargetID]float64 { return c.detection.scores() }

func (c *control) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.ejector.run(ctx) })
	wg.Go(func() { c.maintain(ctx) })
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		c.step()
		select {
		case <-ticker.C:
		case <-c.kick:
		case <-ctx.Done():
			return
		}
	}
}

// step applies the passing of time and tells the fleet about the targets beside this node.
func (c *control) step() {
	n := c.node
	for _, id := range n.admitter.expire() {
		n.log.Emit(events.TargetMissing, events.TargetField(id))
	}
	targets := c.detection.step(n.admitter.targets())
	c.mu.Lock()
	last := c.own
	changed := targetsDiffer(last, targets)
	c.own = targets
	c.mu.Unlock()
	c.logTargets(last, targets)
	n.distributor.SetTargets(targets)
	if changed {
		n.views.invalidate()
	}
}

// logTargets logs targets that are new and those that have changed their phase.
func (c *control) logTargets(last, present []model.Target) {
	known := make(map[model.TargetID]model.Target, len(last))
	for _, t := range last {
		known[t.ID] = t
	}
	for _, t := range present {
		before, ok := known[t.ID]
		switch {
		case !ok:
			c.node.log.Emit(events.TargetAnnounced, events.TargetField(t.ID), events.ServiceField(t.Service),
				events.AddressField(t.Address), events.SlotsField(t.Slots))
		case before.Phase != t.Phase:
			c.node.log.Emit(events.TargetPhaseChanged, events.TargetField(t.ID), events.ServiceField(t.Service),
				events.PhaseField(t.Phase))
		}
	}
}

// targetsDiffer reports whether the routing of requests may change, which load figures alone do not do.
func targetsDiffer(a, b []model.Target) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if routingState(a[i]) != routingState(b[i]) {
			return true
		}
	}
	return false
}

// routingState returns the target without the figures that change with every request.
func routingState(t model.Target) model.Target {
	t.InFlight, t.Queued, t.Successes, t.Failures, t.FirstByte, t.Report = 0, 0, 0, 0, 0, ""
	return t
}

// maintain tries avoided paths and does what is due now and then.
func (c *control) maintain(ctx context.Context) {
	n := c.node
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var collected, rotated time.Duration
	for {
		select {
		case <-second.C:
		case <-ctx.Done():
			return
		}
		now := n.clock.now()
		c.tryPaths(ctx, now)
		n.peers.ExpireIdle(idleConnections)
		c.forgetGone()
		c.noteStore()
		// Writes that an outage of the store has left are made up for. Without any the call costs nothing.
		_, _ = n.once.claims.CollectGarbage(ctx, nil, settleCalls)
		if now-rotated >= latencyWindow {
			rotated = now
			n.metrics.RotateLatencies()
		}
		if now-collected >= collectInterval {
			collected = now
			c.collectClaims(ctx)
		}
	}
}

// noteStore logs that the store answers again after a failure.
func (c *control) noteStore() {
	status := c.node.distributor.Status()
	if status.StoreAge < 0 || status.StoreAge > time.Second || !c.node.storeFailing.CompareAndSwap(true, false) {
		return
	}
	c.node.log.Emit(events.StoreRecovered)
}

// tryPaths asks the nodes that are avoided whether the path works again.
func (c *control) tryPaths(ctx context.Context, now time.Duration) {
	var wg sync.WaitGroup
	for id, address := range c.node.paths.due(now) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pathProbeTimeout)
			defer cancel()
			if _, err := c.node.peers.Hello(ctx, address); err == nil {
				c.node.acceptor.pathWorked(id)
				return
			}
			c.node.paths.failed(c.node.clock.now(), model.Node{ID: id, PeerAddress: address})
		})
	}
	wg.Wait()
}

// forgetGone drops what is kept about nodes and targets that the fleet no longer has.
func (c *control) forgetGone() {
	n := c.node
	members := n.distributor.Snapshot().Members
	if members == nil {
		return
	}
	known := make(map[model.TargetID]bool)
	for _, member := range members.Members {
		for _, t := range member.Record.Targets {
			known[t.ID] = true
		}
	}
	for _, t := range c.targets() {
		known[t.ID] = true
	}
	n.loads.retain(func(id model.TargetID) bool { return known[id] })
	n.paths.retain(func(id model.NodeID) bool {
		_, ok := members.Members[id]
		return ok
	})
}

// collectClaims deletes claims whose retention is over. Only the watchers of a failure domain do so, which bounds the
// store calls of the fleet.
func (c *control) collectClaims(ctx context.Context) {
	n := c.node
	if !n.distributor.Status().Watcher {
		return
	}
	var names []model.ServiceName
	for _, service := range n.acceptor.view.Load().Services() {
		names = append(names, service.Service.Name)
	}
	done, err := n.once.claims.CollectGarbage(ctx, names, collectCalls)
	if err == nil && done.Deleted > 0 {
		n.log.Emit(events.ClaimsCollected, events.CountField(done.Deleted))
	}
}
