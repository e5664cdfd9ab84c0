package distribution

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// MemberKey returns the store key of a node's member record.
func MemberKey(node model.Node) string {
	return MemberPrefix + string(node.Domain) + "/" + string(node.ID)
}

// runMembers registers the node, lists the members once and then, while the node is a watcher, lists them at times.
//
// The list comes after the write: of two nodes that start at a time, at least one finds the other.
func (d *Distributor) runMembers(ctx context.Context) {
	if !sleep(ctx, d.upTo(d.options.RegisterJitter)) {
		return
	}
	err := d.join(ctx)
	close(d.membersTried)
	for pause := d.newBackoff(d.options.BackoffMax); err != nil; err = d.join(ctx) {
		if !sleep(ctx, pause.next()) {
			return
		}
	}
	for sleep(ctx, d.jitter(d.options.RelistInterval, jitterShare)) {
		if d.isWatching() && d.listMembers(ctx) == nil {
			d.deleteDead(ctx)
		}
	}
}

// join registers the node unless that is done, and lists the members.
func (d *Distributor) join(ctx context.Context) error {
	if !d.Status().Registered {
		if err := d.register(ctx); err != nil {
			return err
		}
	}
	return d.listMembers(ctx)
}

// register writes the member record; it takes a second write if the node was registered by an earlier incarnation. A
// write with an unknown outcome is repeated: it conflicts with itself if it took effect.
func (d *Distributor) register(ctx context.Context) error {
	self := d.options.Self
	key := MemberKey(self)
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "member record")
	}
	expect := int64(0)
	for {
		err := d.swap(ctx, key, expect, value)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			if d.storeAnswered(ctx, key, err) == nil {
				d.setRegistered()
			}
			return err
		}
		if bytes.Equal(conflict.Current.Value, value) {
			d.setRegistered()
			return nil
		}
		expect = conflict.Current.Revision
	}
}

func (d *Distributor) swap(ctx context.Context, key string, expect int64, value []byte) error {
	limited, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	_, err := d.options.Store.CompareAndSwap(limited, key, expect, value, 0)
	return err
}

func (d *Distributor) setRegistered() {
	d.mu.Lock()
	d.registered = true
	d.mu.Unlock()
	d.options.Report(Event{Kind: MemberRegistered, Node: d.options.Self.ID})
}

// listMembers reads the member records of the store into the member table.
func (d *Distributor) listMembers(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	kvs, _, err := d.options.Store.List(limited, MemberPrefix)
	if d.storeAnswered(ctx, MemberPrefix, err) != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadRecords = nil
	for _, kv := range kvs {
		if node, ok := memberOf(kv); ok {
			d.mergeListed(node)
			d.noteDead(node, kv.Revision)
		}
	}
	return nil
}

// memberRecord is a member record of the store with its revision.
type memberRecord struct {
	node     model.Node
	revision int64
}

// noteDead keeps the record for deletion if its node was dropped as dead and this node is to delete it.
func (d *Distributor) noteDead(node model.Node, revision int64) {
	if d.tables.members.WasEvicted(node.ID, node.Incarnation) && d.currentView().ShouldDelete(node.ID, node.Domain) {
		d.deadRecords = append(d.deadRecords, memberRecord{node: node, revision: revision})
	}
}

// memberOf decodes a member record, false if it is not one.
func memberOf(kv store.KV) (model.Node, bool) {
	var node model.Node
	if err := json.Unmarshal(kv.Value, &node); err != nil {
		return node, false
	}
	valid := node.ID != "" && node.PeerAddress != "" && strings.HasPrefix(kv.Key, MemberPrefix)
	return node, valid && kv.Key == MemberKey(node)
}

// mergeListed adds a node that only the store knows. Its version and heartbeat are 0, below any that the node sends.
func (d *Distributor) mergeListed(node model.Node) {
	update := membership.Update{Record: &model.NodeRecord{Node: node}}
	if d.tables.members.Merge(update, d.options.Now()) == membership.Replaced {
		d.publisher.members = true
	}
}

// deleteDead deletes the member records that the last list found to be dead. A record that changed since, because its
// node came back, is left alone.
func (d *Distributor) deleteDead(ctx context.Context) {
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
	limited, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	err := d.options.Store.CompareAndDelete(limited, key, record.revision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if d.storeAnswered(ctx, key, err) == nil {
		d.options.Report(Event{Kind: MemberDeleted, Node: record.node.ID})
	}
	return err
}
