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
	// idleConnectionTimeout is the time after which idle connections to other nodes are closed.
	idleConnectionTimeout = 60 * time.Second
	// latencyWindow is the time that one window of the latency summaries covers.
	latencyWindow = time.Minute
	// claimGCInterval is the time between two garbage collections of expired claims.
	claimGCInterval = time.Minute
	// claimGCMaxCalls limits the store calls of one garbage collection.
	claimGCMaxCalls = 10
	// writeRetryMaxCalls limits the store calls per second that retry writes which failed during an outage.
	writeRetryMaxCalls = 5
	// pathCheckTimeout limits one check of an avoided path.
	pathCheckTimeout = time.Second
)

// control is the node's control loop. It applies timeouts at the admission point, updates the detection state of the local
// targets, and maintains paths and connections.
type control struct {
	node      *Node
	wakeup    chan struct{}
	detection *detection
	ejector   *ejector

	mu           sync.Mutex
	localTargets []model.Target
}

func newControl(n *Node) *control {
	c := &control{node: n, wakeup: make(chan struct{}, 1)}
	c.detection = newDetection(n)
	c.ejector = newEjector(n)
	return c
}

// wake triggers a step without waiting for the next interval. It never blocks.
func (c *control) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// targets returns the local targets as of the last step.
func (c *control) targets() []model.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localTargets
}

// ejected returns the targets whose ejection permits are active on this node.
func (c *control) ejected() map[model.TargetID]bool { return c.ejector.activeTargets() }

// scores returns the weight of the evidence against each local target.
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
		case <-c.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// step applies timeouts and publishes the state of the local targets to the fleet.
func (c *control) step() {
	n := c.node
	n.admitter.hold(!n.distributor.DeparturesKnown())
	for _, id := range n.admitter.expire() {
		n.log.Emit(events.TargetMissing, events.TargetField(id))
	}
	targets := c.detection.step(n.admitter.targets())
	c.mu.Lock()
	last := c.localTargets
	changed := targetsDiffer(last, targets)
	c.localTargets = targets
	c.mu.Unlock()
	c.logTargets(last, targets)
	n.distributor.SetTargets(targets)
	if changed {
		n.views.invalidate()
	}
}

// logTargets logs new targets and changes of phase.
func (c *control) logTargets(last, present []model.Target) {
	previous := make(map[model.TargetID]model.Target, len(last))
	for _, t := range last {
		previous[t.ID] = t
	}
	for _, t := range present {
		before, ok := previous[t.ID]
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

// targetsDiffer reports whether the two states may lead to different routing. Load counters alone do not.
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

// routingState returns the target without the counters that change with every request.
func routingState(t model.Target) model.Target {
	t.InFlight, t.Queued, t.Successes, t.Failures, t.FirstByte, t.Report = 0, 0, 0, 0, 0, ""
	return t
}

// maintain checks avoided paths and runs the other periodic tasks.
func (c *control) maintain(ctx context.Context) {
	n := c.node
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var lastClaimGC, lastRotation time.Duration
	for {
		select {
		case <-second.C:
		case <-ctx.Done():
			return
		}
		now := n.clock.now()
		c.checkAvoidedPaths(ctx, now)
		n.peers.ExpireIdle(idleConnectionTimeout)
		c.removeStale()
		c.logStoreRecovery()
		// Retry writes that failed during an outage of the store. Without any, this makes no store call.
		_, _ = n.once.claims.CollectGarbage(ctx, nil, writeRetryMaxCalls)
		if now-lastRotation >= latencyWindow {
			lastRotation = now
			n.metrics.RotateLatencies()
		}
		if now-lastClaimGC >= claimGCInterval {
			lastClaimGC = now
			c.deleteExpiredClaims(ctx)
		}
	}
}

// logStoreRecovery logs the first response of the store after a failure.
func (c *control) logStoreRecovery() {
	status := c.node.distributor.Status()
	if status.StoreAge < 0 || status.StoreAge > time.Second || !c.node.storeFailing.CompareAndSwap(true, false) {
		return
	}
	c.node.log.Emit(events.StoreRecovered)
}

// checkAvoidedPaths sends a Hello to each avoided node that is due, to find out whether the path works again.
func (c *control) checkAvoidedPaths(ctx context.Context, now time.Duration) {
	var wg sync.WaitGroup
	for id, address := range c.node.paths.due(now) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
			defer cancel()
			if _, err := c.node.peers.Hello(ctx, address); err == nil {
				c.node.acceptor.recordPathSuccess(id)
				return
			}
			c.node.paths.recordFailure(c.node.clock.now(), model.Node{ID: id, PeerAddress: address})
		})
	}
	wg.Wait()
}

// removeStale removes the state of nodes and targets that are no longer part of the fleet.
func (c *control) removeStale() {
	n := c.node
	members := n.distributor.Snapshot().Members
	if members == nil {
		return
	}
	present := make(map[model.TargetID]bool)
	for _, member := range members.Members {
		for _, t := range member.Record.Targets {
			present[t.ID] = true
		}
	}
	for _, t := range c.targets() {
		present[t.ID] = true
	}
	n.loads.retain(func(id model.TargetID) bool { return present[id] })
	n.paths.retain(func(id model.NodeID) bool {
		_, ok := members.Members[id]
		return ok
	})
}

// deleteExpiredClaims deletes claims whose retention period has ended. Only the watchers of a failure domain do this, to
// limit the store calls of the fleet.
func (c *control) deleteExpiredClaims(ctx context.Context) {
	n := c.node
	if !n.distributor.Status().Watcher {
		return
	}
	var names []model.ServiceName
	for _, service := range n.acceptor.view.Load().Services() {
		names = append(names, service.Service.Name)
	}
	done, err := n.once.claims.CollectGarbage(ctx, names, claimGCMaxCalls)
	if err == nil && done.Deleted > 0 {
		n.log.Emit(events.ClaimsCollected, events.CountField(done.Deleted))
	}
}
