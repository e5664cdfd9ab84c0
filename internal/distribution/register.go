package distribution

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// confirmSpacing is the mean time between the reads of two nodes that check their member records after a restore of the
// store. The whole fleet then makes at most 500 reads a second, a quarter of what the platform's store allows.
const confirmSpacing = 2 * time.Millisecond

// confirmJitter returns the time over which the nodes spread out their checks.
func (d *Distributor) confirmJitter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.options.RegisterJitter, time.Duration(d.tables.members.Len())*confirmSpacing)
}

// register writes the member record if the key is absent. A second write is needed if an earlier incarnation of the node
// is registered.
func (d *Distributor) register(ctx context.Context) error { return d.writeRecord(ctx) }

// writeRecord writes the member record over the one that this node knows of. A write with an unknown outcome is retried: if
// the first one took effect, the retry conflicts with the node's own record. Departures in a record of an earlier
// incarnation are restored before it is replaced.
func (d *Distributor) writeRecord(ctx context.Context) error {
	select {
	case d.recordWrites <- struct{}{}:
		defer func() { <-d.recordWrites }()
	case <-ctx.Done():
		return ctx.Err()
	}
	key := MemberKey(d.options.Self)
	for {
		member, revision := d.memberDocument()
		value, err := member.encode()
		if err != nil {
			return err
		}
		era := d.currentEra()
		kv, err := d.swap(ctx, key, revision, value)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			d.recordStored(kv.Revision, member)
			d.setRegistered(max(era, store.Era(kv.Revision)))
			return d.recordStoreResult(ctx, key, nil)
		case !errors.As(err, &conflict):
			return d.recordStoreResult(ctx, key, err)
		case bytes.Equal(conflict.Current.Value, value):
			d.recordStored(conflict.Current.Revision, member)
			d.setRegistered(max(era, store.Era(conflict.Current.Revision)))
			return nil
		}
		d.replaceStored(conflict.Current)
	}
}

// memberDocument returns the own member record as it has to be in the store, and the revision of the one that it replaces, 0
// if there is none.
func (d *Distributor) memberDocument() (memberDocument, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return memberDocument{Node: d.options.Self, Departures: d.self.departures.List()}, d.storedRevision
}

// recordStored records that the member record is in the store at the revision.
func (d *Distributor) recordStored(revision int64, member memberDocument) {
	d.mu.Lock()
	d.storedRevision = revision
	now := d.options.Now()
	for _, departure := range member.Departures {
		d.departures.kept.Add(now, departure)
	}
	d.departures.unwritten = false
	d.mu.Unlock()
	d.setDeparturesKnown(false)
}

// replaceStored records that the store has another record of this node, which the next write replaces. The departures in it
// are kept.
func (d *Distributor) replaceStored(kv store.KV) {
	if member, ok := decodeMember(kv); ok {
		d.restoreDepartures(member.Departures, true)
	}
	d.mu.Lock()
	d.storedRevision = kv.Revision
	d.mu.Unlock()
}

func (d *Distributor) swap(ctx context.Context, key string, expectedRevision int64, value []byte) (store.KV, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	return d.options.Store.CompareAndSwap(callCtx, key, expectedRevision, value, 0)
}

func (d *Distributor) setRegistered(era int64) {
	d.recordRegistration(era)
	d.options.Report(Event{Kind: MemberRegistered, Node: d.options.Self.ID})
}

// recordRegistration records that the member record was in the store in the era.
func (d *Distributor) recordRegistration(era int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registered = true
	d.registeredEra = era
	d.checkRegistrationEra()
}

// currentEra returns the newest era of the store that this node has received. The store executes calls that are sent after
// that in this era or a later one.
func (d *Distributor) currentEra() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// isRegistered reports whether the member record is in the store, as far as this node has received its restores. The
// caller holds d.mu.
func (d *Distributor) isRegistered() bool { return d.registered && d.registeredEra >= d.era }

// confirmRegistration reads the member record if the store was restored since the last write or read of it, and writes it
// again if it is lost or belongs to an earlier incarnation.
func (d *Distributor) confirmRegistration(ctx context.Context) error {
	if d.Status().Registered {
		return d.writeUnwritten(ctx)
	}
	key, era := MemberKey(d.options.Self), d.currentEra()
	kv, err := d.get(ctx, key)
	lost := errors.Is(err, store.ErrNotFound)
	if !lost && d.recordStoreResult(ctx, key, err) != nil {
		return err
	}
	member, _ := d.memberDocument()
	value, err := member.encode()
	if err != nil {
		return err
	}
	if bytes.Equal(kv.Value, value) {
		d.recordStored(kv.Revision, member)
		d.recordRegistration(max(era, store.Era(kv.Revision)))
		return nil
	}
	if stored, ok := decodeMember(kv); ok && stored.Incarnation > d.options.Self.Incarnation {
		d.recordRegistration(max(era, store.Era(kv.Revision)))
		d.options.Report(Event{Kind: IdentityConflict, Node: stored.ID, Address: stored.PeerAddress})
		return nil
	}
	d.options.Report(Event{Kind: MemberRecordLost, Node: d.options.Self.ID})
	d.replaceStored(kv)
	return d.writeRecord(ctx)
}

// writeUnwritten writes the member record if the one in the store lacks a departure.
func (d *Distributor) writeUnwritten(ctx context.Context) error {
	d.mu.Lock()
	unwritten := d.departures.unwritten
	d.mu.Unlock()
	if !unwritten {
		return nil
	}
	return d.writeRecord(ctx)
}

func (d *Distributor) get(ctx context.Context, key string) (store.KV, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	return d.options.Store.Get(callCtx, key)
}
