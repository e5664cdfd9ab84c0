package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// MemberKey returns the store key of a node's member record.
func MemberKey(node model.Node) string {
	return MemberPrefix + string(node.Domain) + "/" + string(node.ID)
}

// runMembers lists the members and registers the node. From then on it confirms the member record after each restore
// of the store. While the node is a watcher, it also lists the members every RelistInterval and after each restore.
//
// The start waits for the first list only, if it brings other nodes: the writes are spread out over a longer time. Another list
// comes after the write, so that of two nodes that start at the same time at least one finds the other.
func (d *Distributor) runMembers(ctx context.Context) {
	listDelay := d.randomBelow(d.options.ListJitter)
	if !sleep(ctx, listDelay) {
		return
	}
	// A failure needs no handling here: join lists the members again.
	_ = d.listMembers(ctx)
	close(d.firstListDone)
	if !sleep(ctx, d.randomBelow(d.options.RegisterJitter)-listDelay) {
		return
	}
	returned := d.awaitedReturn()
	err := d.join(ctx)
	close(d.firstJoinDone)
	if !d.retryUntilDone(ctx, returned, err, d.join) {
		return
	}
	for d.awaitMemberCheck(ctx) {
		returned = d.awaitedReturn()
		if !d.retryUntilDone(ctx, returned, d.confirmRegistration(ctx), d.confirmRegistration) {
			return
		}
		if d.isWatching() && d.listMembers(ctx) == nil {
			d.deleteDeadMembers(ctx)
		}
	}
}

// retryUntilDone repeats a call, whose last result is err, until it succeeds. The return of the store ends a pause; returned is
// the one that was awaited before the last call. It returns false if ctx ended first.
func (d *Distributor) retryUntilDone(
	ctx context.Context, returned storeReturn, err error, call func(context.Context) error,
) bool {
	for pause := d.newBackoff(d.options.BackoffMax); err != nil; err = call(ctx) {
		if !d.pauseUntil(ctx, returned, pause.next(), d.options.RegisterJitter) {
			return false
		}
		returned = d.awaitedReturn()
	}
	return true
}

// awaitMemberCheck waits for RelistInterval, for a member record that could not be written, or for a restore of the store and
// then for a random time, so that the nodes do not check their member records at the same time. It returns false if ctx ended.
func (d *Distributor) awaitMemberCheck(ctx context.Context) bool {
	timer := time.NewTimer(d.jitter(d.options.RelistInterval, jitterFraction))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.recordUnwritten:
		return true
	case <-d.newEra:
		return sleep(ctx, d.randomBelow(d.confirmJitter()))
	case <-ctx.Done():
		return false
	}
}

// join registers the node if it is not registered yet, and lists the members.
func (d *Distributor) join(ctx context.Context) error {
	if !d.Status().Registered {
		if err := d.register(ctx); err != nil {
			return err
		}
	}
	return d.listMembers(ctx)
}

// listMembers merges the member records of the store into the member table.
func (d *Distributor) listMembers(ctx context.Context) error {
	callCtx, cancel := store.WithProgressTimeout(ctx, d.options.StoreTimeout, d.options.StoreTimeout)
	defer cancel()
	kvs, _, err := d.options.Store.List(callCtx, MemberPrefix)
	if d.recordStoreResult(ctx, MemberPrefix, err) != nil {
		return err
	}
	d.mergeList(kvs)
	d.setDeparturesKnown(true)
	return nil
}

// mergeList merges the member records of the store, the own one included.
func (d *Distributor) mergeList(kvs []store.KV) {
	var own []model.Departure
	d.mu.Lock()
	d.deadRecords = nil
	for _, kv := range kvs {
		member, ok := decodeMember(kv)
		if !ok {
			continue
		}
		if member.ID == d.options.Self.ID {
			own = member.Departures
		}
		d.mergeListed(member)
		d.queueDeadRecord(member.Node, kv.Revision)
	}
	d.mu.Unlock()
	d.restoreDepartures(own, true)
}

// memberRecord is a member record in the store with its revision.
type memberRecord struct {
	node     model.Node
	revision int64
}

// queueDeadRecord queues the record for deletion if its node was evicted as dead and this node is elected to delete it.
func (d *Distributor) queueDeadRecord(node model.Node, revision int64) {
	if d.tables.members.WasEvicted(node.ID, node.Incarnation) && d.currentView().ShouldDelete(node.ID, node.Domain) {
		d.deadRecords = append(d.deadRecords, memberRecord{node: node, revision: revision})
	}
}

// mergeListed merges a member record of the store. Its version and heartbeat are 0, lower than any that the node sends.
func (d *Distributor) mergeListed(member memberDocument) {
	update := membership.Update{Record: &model.NodeRecord{Node: member.Node, Departures: member.Departures}}
	if d.tables.members.Merge(update, d.options.Now()) == membership.Replaced {
		d.publisher.membersChanged = true
	}
}

// deleteDeadMembers deletes the member records that listMembers queued. A record that changed in the meantime because
// its node restarted is kept.
func (d *Distributor) deleteDeadMembers(ctx context.Context) {
	d.mu.Lock()
	dead := d.deadRecords
	d.deadRecords = nil
	d.mu.Unlock()
	for _, record := range dead {
		if d.deleteMember(ctx, record) != nil {
			return
		}
	}
}

func (d *Distributor) deleteMember(ctx context.Context, record memberRecord) error {
	key := MemberKey(record.node)
	callCtx, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	err := d.options.Store.CompareAndDelete(callCtx, key, record.revision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if d.recordStoreResult(ctx, key, err) == nil {
		d.options.Report(Event{Kind: MemberDeleted, Node: record.node.ID})
	}
	return err
}
