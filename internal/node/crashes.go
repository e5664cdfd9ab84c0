package node

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// crashTracker detects requests that crash their upstreams. It drives the package quarantine.
type crashTracker struct {
	clock clock
	store store.Store
	log   *events.Log
	// notify sends the entry to the other admitting nodes of the service. It returns when they have received it, or after a
	// short timeout.
	notify func(service model.ServiceName, entry []byte)

	// nodeHash is a hash of the node and its incarnation.
	nodeHash uint64
	// isWatching reports whether this node watches the store.
	isWatching func() bool

	mu    sync.Mutex
	table *quarantine.Table
	// serial is the serial of the newest loss of a local target, lastSerials those of the newest ones of each.
	serial      uint64
	lastSerials map[model.TargetID]uint64
	// documents are the stored entries as the last snapshot has them, by fingerprint.
	documents map[string]config.Document
	// mergedDocuments are the merged documents, by fingerprint.
	mergedDocuments map[string]config.Document
	writes          chan quarantine.Entry
	// storeEra is the era of the store in the last snapshot.
	storeEra int64
	// restored has a message while a restore of the store requires a check of its entries.
	restored chan struct{}
}

// maxPendingEntries limits the entries that wait to be written to the store. Further entries are dropped; each
// node that has recorded the losses keeps its own entry.
const maxPendingEntries = 256

func newCrashTracker(c clock, self model.Node, s store.Store, log *events.Log) *crashTracker {
	return &crashTracker{
		clock: c, store: s, log: log, table: quarantine.New(),
		nodeHash:   xxhash.Sum64String(string(self.ID)) ^ uint64(self.Incarnation),
		notify:     func(model.ServiceName, []byte) {},
		isWatching: func() bool { return false },
		// The serials of two incarnations differ, so that a loss after a restart is not mistaken for an earlier one.
		serial: uint64(self.Incarnation), lastSerials: make(map[model.TargetID]uint64),
		mergedDocuments: make(map[string]config.Document), writes: make(chan quarantine.Entry, maxPendingEntries),
		restored: make(chan struct{}, 1),
	}
}

// awaitAllowed waits until the fingerprint may run at the target. It returns the refusal if the fingerprint is quarantined
// or ctx ends. If the quarantine is due for a probe, the attempt may become the probe.
func (c *crashTracker) awaitAllowed(ctx context.Context, head *peerv1.ForwardHead) *verdict.Error {
	for {
		decision := c.decide(head, false)
		switch {
		case decision.Allowed:
			return nil
		case decision.Quarantined:
			if c.claimProbe(ctx, head) {
				continue
			}
			head.Probe = 0
			if c.decide(head, false).Quarantined {
				return quarantinedError(head)
			}
			continue
		}
		if err := sleep(ctx, decision.RecheckAfter); err != nil {
			return err
		}
	}
}

// begin records that an attempt runs at its target, or returns the refusal if it may not. Each successful call is
// followed by one call of recordEnd, recordRemoteLoss or finish.
func (c *crashTracker) begin(head *peerv1.ForwardHead) *verdict.Error {
	if c.decide(head, true).Allowed {
		return nil
	}
	return quarantinedError(head)
}

func quarantinedError(head *peerv1.ForwardHead) *verdict.Error {
	return verdict.Refused(verdict.Quarantined, errors.Errorf("fingerprint %s", quarantine.Fingerprint(head.Fingerprint)))
}

// decide returns whether the fingerprint may run at the target now. With start, it also records the run if it may.
func (c *crashTracker) decide(head *peerv1.ForwardHead, start bool) quarantine.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.Probe > 0 {
		return c.decideProbe(head, start)
	}
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	decision := c.table.MayRun(c.clock.now(), fingerprint, target)
	if decision.Allowed && start {
		c.table.Start(fingerprint, target)
	}
	return decision
}

// recordEnd records the end of an attempt at a local target. It returns the serial of the loss if the upstream crashed, 0
// otherwise.
func (c *crashTracker) recordEnd(address string, head *peerv1.ForwardHead, result upstream.Result) uint64 {
	if isBrokenConnection(result) && !isListening(address) {
		return c.recordLoss(head)
	}
	c.finish(head, result.Outcome == upstream.Answered)
	return 0
}

// recordLoss records the loss of an upstream, attributes it to the fingerprints in flight there, and returns its serial. A
// crash breaks all requests at the upstream: the first of them records the loss and ends all runs at the target. The others
// find no run there and return the latest serial of the target.
func (c *crashTracker) recordLoss(head *peerv1.ForwardHead) uint64 {
	target := model.TargetID(head.Target)
	c.mu.Lock()
	if c.table.Running(target) == 0 {
		serial := c.lastSerials[target]
		c.mu.Unlock()
		return serial
	}
	c.serial++
	serial := c.serial
	c.lastSerials[target] = serial
	entries := c.table.RecordLoss(c.clock.now(), quarantine.Loss{Target: target, Serial: serial})
	c.mu.Unlock()
	c.reportEntries(head, entries)
	return serial
}

// recordRemoteLoss records the loss of an upstream of another node during an attempt that this node sent there.
func (c *crashTracker) recordRemoteLoss(head *peerv1.ForwardHead, serial uint64) {
	c.mu.Lock()
	c.table.RecordLoss(c.clock.now(), quarantine.Loss{Target: model.TargetID(head.Target), Serial: serial})
	c.mu.Unlock()
}

// finish records the end of an attempt whose upstream was not lost.
func (c *crashTracker) finish(head *peerv1.ForwardHead, success bool) {
	c.mu.Lock()
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	entry, cleared := c.table.Finish(c.clock.now(), fingerprint, target, success)
	c.mu.Unlock()
	if cleared {
		c.enqueueWrite(entry)
	}
}

// reportEntries logs the entries, sends them to the other admitting nodes of the service, and queues them for the store.
func (c *crashTracker) reportEntries(head *peerv1.ForwardHead, entries []quarantine.Entry) {
	for _, entry := range entries {
		event := events.CrashAttributed
		if entry.Quarantined() {
			event = events.FingerprintQuarantined
		}
		c.log.Emit(event, events.ServiceField(model.ServiceName(head.Service)), events.TargetField(model.TargetID(head.Target)), events.FingerprintField(entry.Fingerprint.String()),
			events.CountField(len(entry.Losses)))
		c.notifyEntry(model.ServiceName(head.Service), entry)
		c.enqueueWrite(entry)
	}
}

// notifyEntry sends the entry to the other admitting nodes of the service before the accepting node receives the loss.
// Otherwise a client retry through another node could reach an admission point that has not received the entry.
func (c *crashTracker) notifyEntry(service model.ServiceName, entry quarantine.Entry) {
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	c.notify(service, value)
}

// mergeSnapshot merges the entries received from the store or by gossip. A document that only has a new revision, as all
// have after a restore of the store, is not merged again: its age is from the time of the write, so an expired entry would
// return.
func (c *crashTracker) mergeSnapshot(snapshot *distribution.Snapshot) {
	for key, document := range snapshot.Quarantine {
		merged := c.mergedDocuments[key]
		if merged.Revision >= document.Revision {
			continue
		}
		c.mergedDocuments[key] = document
		if !bytes.Equal(merged.Value, document.Value) {
			c.merge(document.Value)
		}
	}
	for key := range c.mergedDocuments {
		if _, ok := snapshot.Quarantine[key]; !ok {
			delete(c.mergedDocuments, key)
		}
	}
	c.recordDocuments(snapshot)
}

// entries returns the cached entries of all fingerprints.
func (c *crashTracker) entries() []quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Entries(c.clock.now())
}
