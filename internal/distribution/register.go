package distribution

import (
	"bytes"
	"context"
	"encoding/json"
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
func (d *Distributor) register(ctx context.Context) error { return d.writeRecord(ctx, 0) }

// writeRecord writes the member record over the one at expectedRevision, 0 if there is none. A write with an unknown
// outcome is retried: if the first one took effect, the retry conflicts with the node's own record.
func (d *Distributor) writeRecord(ctx context.Context, expectedRevision int64) error {
	key := MemberKey(d.options.Self)
	value, err := d.recordValue()
	if err != nil {
		return err
	}
	for {
		era := d.currentEra()
		kv, err := d.swap(ctx, key, expectedRevision, value)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			if d.recordStoreResult(ctx, key, err) == nil {
				d.setRegistered(max(era, store.Era(kv.Revision)))
			}
			return err
		}
		if bytes.Equal(conflict.Current.Value, value) {
			d.setRegistered(max(era, store.Era(conflict.Current.Revision)))
			return nil
		}
		expectedRevision = conflict.Current.Revision
	}
}

// recordValue returns the member record as it is in the store.
func (d *Distributor) recordValue() ([]byte, error) {
	value, err := json.Marshal(d.options.Self)
	return value, errors.Wrap(err, "member record")
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
		return nil
	}
	key, era := MemberKey(d.options.Self), d.currentEra()
	kv, err := d.get(ctx, key)
	lost := errors.Is(err, store.ErrNotFound)
	if !lost && d.recordStoreResult(ctx, key, err) != nil {
		return err
	}
	value, err := d.recordValue()
	if err != nil {
		return err
	}
	if bytes.Equal(kv.Value, value) {
		d.recordRegistration(max(era, store.Era(kv.Revision)))
		return nil
	}
	if stored, ok := decodeMember(kv); ok && stored.Incarnation > d.options.Self.Incarnation {
		d.recordRegistration(max(era, store.Era(kv.Revision)))
		d.options.Report(Event{Kind: IdentityConflict, Node: stored.ID, Address: stored.PeerAddress})
		return nil
	}
	d.options.Report(Event{Kind: MemberRecordLost, Node: d.options.Self.ID})
	return d.writeRecord(ctx, kv.Revision)
}

func (d *Distributor) get(ctx context.Context, key string) (store.KV, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.options.StoreTimeout)
	defer cancel()
	return d.options.Store.Get(callCtx, key)
}
