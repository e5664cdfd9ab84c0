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

// runMembers registers the node once and then, while the node is a watcher, lists the members at times.
func (d *Distributor) runMembers(ctx context.Context) {
	if !sleep(ctx, d.upTo(d.options.RegisterJitter)) {
		return
	}
	pause := d.newBackoff()
	for d.register(ctx) != nil {
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

// register writes the member record. A write with an unknown outcome is repeated: it conflicts with itself if it took
// effect.
func (d *Distributor) register(ctx context.Context) error {
	self := d.options.Self
	key := MemberKey(self)
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "member record")
	}
	expect := d.registeredRevision()
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

func (d *Distributor) registeredRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed[MemberKey(d.options.Self)]
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
	d.listed = make(map[string]int64, len(kvs))
	d.listedNodes = d.listedNodes[:0]
	for _, kv := range kvs {
		d.listed[kv.Key] = kv.Revision
		if node, ok := memberOf(kv); ok {
			d.listedNodes = append(d.listedNodes, node)
			d.mergeListed(node)
		}
	}
	return nil
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

// deleteDead deletes the listed member records of nodes that were dropped as dead, if this node is to delete them. A
// record that changed since the list, because its node came back, is left alone.
func (d *Distributor) deleteDead(ctx context.Context) {
	for _, node := range d.deadListed() {
		key := MemberKey(node)
		limited, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
		err := d.options.Store.CompareAndDelete(limited, key, d.listedRevision(key))
		cancel()
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if d.storeAnswered(ctx, key, err) != nil {
			return
		}
		d.options.Report(Event{Kind: MemberDeleted, Node: node.ID})
	}
}

func (d *Distributor) listedRevision(key string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed[key]
}

func (d *Distributor) deadListed() []model.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var dead []model.Node
	view := d.currentView()
	for _, node := range d.listedNodes {
		if d.tables.members.Buried(node.ID, node.Incarnation) && view.Reaps(node.ID, node.Domain) {
			dead = append(dead, node)
		}
	}
	return dead
}
