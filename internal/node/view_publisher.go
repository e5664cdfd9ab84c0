package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// minViewInterval is the minimum time between two views, so that changes in quick succession share one.
	minViewInterval = 20 * time.Millisecond
	// viewRefreshInterval is the time between views without a change: permits expire and slow-start ramps progress with
	// time alone.
	viewRefreshInterval = time.Second
)

// viewPublisher builds a new view when something changes and publishes it to the request path.
type viewPublisher struct {
	node         *Node
	dirty        chan struct{}
	memberLogger *memberLogger
	buildCount   int64
}

// invalidate requests a new view. It never blocks.
func (p *viewPublisher) invalidate() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

func (p *viewPublisher) run(ctx context.Context) {
	refresh := time.NewTicker(viewRefreshInterval)
	defer refresh.Stop()
	for {
		p.publish()
		if sleep(ctx, minViewInterval) != nil {
			return
		}
		select {
		case <-p.dirty:
		case <-refresh.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *viewPublisher) publish() {
	n := p.node
	ready := n.distributor.Ready()
	snapshot := n.distributor.Snapshot()
	n.crashes.mergeSnapshot(snapshot)
	n.heartbeats.record(n.clock.now(), snapshot.Members)
	view := core.BuildView(core.Inputs{
		Self:        n.self,
		Config:      snapshot.Config,
		Members:     n.withSelf(snapshot.Members),
		Ejected:     n.control.ejected(),
		Unreachable: n.paths.avoided(),
		Scores:      n.control.scores(),
		FloorShare:  n.settings.Ejection.FloorShare,
		Previous:    n.acceptor.view.Load(),
		Loads:       n.loads.of,
	})
	n.acceptor.setView(view)
	if snapshot.Members != nil {
		n.updateRemoteAddresses(snapshot.Members)
		p.memberLogger.logChanges(n.clock.now(), snapshot.Members)
		n.acceptor.budgets.setNodes(snapshot.Members.Live(), n.clock.now())
	}
	if ready && !n.acceptor.lameDuck.Load() {
		n.ready.Store(true)
	}
	p.buildCount++
	n.metrics.SetSnapshotRevision(p.buildCount)
	n.metrics.SetConfigRevision(view.Revision)
	n.admitter.setOperatorDrains(operatorDrains(view))
}

// withSelf returns the members with the latest record of this node. The distributor's snapshot receives the same record
// with a delay.
func (n *Node) withSelf(members *membership.Snapshot) *membership.Snapshot {
	out := &membership.Snapshot{Self: n.self.ID, Members: make(map[model.NodeID]membership.Member)}
	if members != nil {
		for id, member := range members.Members {
			out.Members[id] = member
		}
	}
	record := &model.NodeRecord{Node: n.self, Stopping: n.acceptor.stopping.Load(), Targets: n.control.targets()}
	out.Members[n.self.ID] = membership.Member{Record: record, State: membership.Alive}
	return out
}

// operatorDrains returns the targets that operators have set to drain.
func operatorDrains(view *core.View) map[model.TargetID]bool {
	out := make(map[model.TargetID]bool)
	for _, service := range view.Services() {
		for _, id := range service.Service.Draining {
			out[id] = true
		}
	}
	return out
}
