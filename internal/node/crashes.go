package node

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// crashes finds requests that crash their upstreams. It drives the package quarantine.
type crashes struct {
	clock clock
	store store.Store
	log   *events.Log
	// warn tells the admitting nodes of the service and returns when they know, or after a short time.
	warn func(service model.ServiceName, entry []byte)

	mu     sync.Mutex
	table  *quarantine.Table
	serial uint64
	// merged are the store revisions of the entries that were merged, by key.
	merged map[string]int64
	writes chan quarantine.Entry
}

// pendingEntries bounds the entries that wait to be written to the store. More are dropped: each node still has its own.
const pendingEntries = 256

func newCrashes(c clock, self model.Node, s store.Store, log *events.Log) *crashes {
	return &crashes{
		clock: c, store: s, log: log, table: quarantine.New(),
		warn: func(model.ServiceName, []byte) {},
		// Serials of different incarnations differ, so that a loss after a restart is not taken for an earlier one.
		serial: uint64(self.Incarnation),
		merged: make(map[string]int64), writes: make(chan quarantine.Entry, pendingEntries),
	}
}

// await waits until the fingerprint may run at the target, or returns why it may not.
func (c *crashes) await(ctx context.Context, head *peerv1.ForwardHead) *verdict.Error {
	for {
		ruling := c.rule(head, false)
		switch {
		case ruling.Allowed:
			return nil
		case ruling.Quarantined:
			return quarantined(head)
		}
		if err := sleep(ctx, ruling.RecheckAfter); err != nil {
			return err
		}
	}
}

// begin notes that an admitted attempt runs at its target, or returns why it may not. Each begin without an error is
// followed by one ended.
func (c *crashes) begin(head *peerv1.ForwardHead) *verdict.Error {
	if c.rule(head, true).Allowed {
		return nil
	}
	return quarantined(head)
}

func quarantined(head *peerv1.ForwardHead) *verdict.Error {
	return verdict.Refused(verdict.Quarantined, errors.Errorf("fingerprint %s", quarantine.Fingerprint(head.Fingerprint)))
}

func (c *crashes) rule(head *peerv1.ForwardHead, start bool) quarantine.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	ruling := c.table.MayRun(c.clock.now(), fingerprint, target)
	if ruling.Allowed && start {
		c.table.Start(fingerprint, target)
	}
	return ruling
}

// ended notes the end of an attempt at an upstream beside this node. If the upstream was lost with it, it returns the
// serial of the loss, 0 otherwise.
func (c *crashes) ended(address string, head *peerv1.ForwardHead, result upstream.Result) uint64 {
	if isBreak(result) && !listens(address) {
		return c.lost(head)
	}
	c.finish(head, result.Outcome == upstream.Answered)
	return 0
}

// lost notes the loss of an upstream and attributes it to the fingerprints in flight there. The first of the requests
// that broke reports the loss; for the others nothing runs at the target any more.
func (c *crashes) lost(head *peerv1.ForwardHead) uint64 {
	target := model.TargetID(head.Target)
	c.mu.Lock()
	if c.table.Running(target) == 0 {
		serial := c.serial
		c.mu.Unlock()
		return serial
	}
	c.serial++
	serial := c.serial
	entries := c.table.RecordLoss(c.clock.now(), quarantine.Loss{Target: target, Serial: serial})
	c.mu.Unlock()
	c.report(head, entries)
	return serial
}

// lostElsewhere notes that another node has reported the loss of an upstream under an attempt of this node.
func (c *crashes) lostElsewhere(head *peerv1.ForwardHead, serial uint64) {
	c.mu.Lock()
	c.table.RecordLoss(c.clock.now(), quarantine.Loss{Target: model.TargetID(head.Target), Serial: serial})
	c.mu.Unlock()
}

// finish notes the end of an attempt whose upstream was not lost.
func (c *crashes) finish(head *peerv1.ForwardHead, success bool) {
	c.mu.Lock()
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	entry, cleared := c.table.Finish(c.clock.now(), fingerprint, target, success)
	c.mu.Unlock()
	if cleared {
		c.publish(entry)
	}
}

func (c *crashes) report(head *peerv1.ForwardHead, entries []quarantine.Entry) {
	for _, entry := range entries {
		event := events.CrashAttributed
		if entry.Quarantined() {
			event = events.FingerprintQuarantined
		}
		c.log.Emit(event, events.ServiceField(model.ServiceName(head.Service)), events.TargetField(model.TargetID(head.Target)), events.FingerprintField(entry.Fingerprint.String()),
			events.CountField(len(entry.Losses)))
		c.warnOf(model.ServiceName(head.Service), entry)
		c.publish(entry)
	}
}

// warnOf tells the other admitting nodes of the service before the accepting node learns of the loss, so that a resend
// through any node meets an admission point that knows.
func (c *crashes) warnOf(service model.ServiceName, entry quarantine.Entry) {
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	c.warn(service, value)
}

// learn merges the entries that the fleet has.
func (c *crashes) learn(snapshot *distribution.Snapshot) {
	for key, document := range snapshot.Quarantine {
		if c.merged[key] >= document.Revision {
			continue
		}
		c.merged[key] = document.Revision
		c.merge(document.Value)
	}
	for key := range c.merged {
		if _, ok := snapshot.Quarantine[key]; !ok {
			delete(c.merged, key)
		}
	}
}

// entries returns what the node knows about fingerprints.
func (c *crashes) entries() []quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Entries(c.clock.now())
}
