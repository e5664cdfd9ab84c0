package node

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

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

const (
	// crashDialTimeout bounds the look whether an upstream that broke a connection still listens.
	crashDialTimeout = 500 * time.Millisecond
	// crashLooks and crashLookPause are how often and how far apart the upstream is looked at after a connection broke.
	crashLooks     = 3
	crashLookPause = 20 * time.Millisecond
	// quarantineWriteTimeout bounds the write of an entry to the store.
	quarantineWriteTimeout = 2 * time.Second
)

// crashes finds requests that crash their upstreams. It is the shell around the package quarantine.
type crashes struct {
	clock clock
	store store.Store
	log   *events.Log
	// warn tells the admitting nodes of the target's service and returns when they know, or after a short time.
	warn func(target model.TargetID, entry []byte)

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
		warn: func(model.TargetID, []byte) {},
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
		case ruling.OK:
			return nil
		case ruling.Quarantined:
			return quarantined(head)
		}
		if err := sleep(ctx, ruling.Wait); err != nil {
			return err
		}
	}
}

// begin notes that an admitted attempt runs at its target, or returns why it may not. Each begin without an error is
// followed by one ended.
func (c *crashes) begin(head *peerv1.ForwardHead) *verdict.Error {
	if c.rule(head, true).OK {
		return nil
	}
	return quarantined(head)
}

func quarantined(head *peerv1.ForwardHead) *verdict.Error {
	return verdict.Refused(verdict.Quarantined, errors.Errorf("fingerprint %s", quarantine.Fingerprint(head.Fingerprint)))
}

func (c *crashes) rule(head *peerv1.ForwardHead, start bool) quarantine.Ruling {
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	ruling := c.table.MayRun(c.clock.now(), fingerprint, target)
	if ruling.OK && start {
		c.table.Start(fingerprint, target)
	}
	return ruling
}

// ended notes the end of an attempt at an upstream beside this node. If the upstream was lost with it, it returns the
// serial of the loss, 0 otherwise.
func (c *crashes) ended(address string, head *peerv1.ForwardHead, result upstream.Result) uint64 {
	if isBreak(result) && !listens(address) {
		return c.lost(model.TargetID(head.Target))
	}
	c.finish(head, result.Outcome == upstream.Answered)
	return 0
}

// isBreak reports whether the connection broke in a way that a crash of the upstream would explain.
func isBreak(result upstream.Result) bool {
	return result.Outcome == upstream.Lost || result.Outcome == upstream.Incomplete
}

// listens reports whether the upstream still accepts connections. Only a refused connection says that it does not: a
// slow or silent upstream has not crashed. The listener of a process that exits may outlive its connections for a moment,
// so that a first success is checked again.
func listens(address string) bool {
	for range crashLooks {
		if refuses(address) {
			return false
		}
		time.Sleep(crashLookPause)
	}
	return !refuses(address)
}

func refuses(address string) bool {
	c, err := net.DialTimeout("tcp", address, crashDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written, so that the error of closing tells nothing.
	_ = c.Close()
	return false
}

// lost notes the loss of an upstream and attributes it to the fingerprints in flight there. The first of the requests
// that broke reports the loss; for the others nothing runs at the target any more.
func (c *crashes) lost(target model.TargetID) uint64 {
	c.mu.Lock()
	if c.table.Running(target) == 0 {
		serial := c.serial
		c.mu.Unlock()
		return serial
	}
	c.serial++
	serial := c.serial
	entries := c.table.Lose(c.clock.now(), quarantine.Loss{Target: target, Serial: serial})
	c.mu.Unlock()
	c.report(target, entries)
	return serial
}

// lostElsewhere notes that another node has reported the loss of an upstream under an attempt of this node.
func (c *crashes) lostElsewhere(head *peerv1.ForwardHead, serial uint64) {
	c.mu.Lock()
	c.table.Lose(c.clock.now(), quarantine.Loss{Target: model.TargetID(head.Target), Serial: serial})
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

func (c *crashes) report(target model.TargetID, entries []quarantine.Entry) {
	for _, entry := range entries {
		event := events.CrashAttributed
		if entry.Quarantined() {
			event = events.FingerprintQuarantined
		}
		c.log.Emit(event, events.TargetField(target), events.FingerprintField(entry.Fingerprint.String()),
			events.CountField(len(entry.Losses)))
		c.warnOf(target, entry)
		c.publish(entry)
	}
}

// warnOf tells the other admitting nodes of the service before the accepting node learns of the loss, so that a resend
// through any node meets an admission point that knows.
func (c *crashes) warnOf(target model.TargetID, entry quarantine.Entry) {
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	c.warn(target, value)
}

// publish hands an entry to the writer. It never blocks.
func (c *crashes) publish(entry quarantine.Entry) {
	select {
	case c.writes <- entry:
	default:
	}
}

// run writes entries to the store, from which all nodes learn them, until ctx ends.
func (c *crashes) run(ctx context.Context) {
	for {
		select {
		case entry := <-c.writes:
			c.write(ctx, entry)
		case <-ctx.Done():
			return
		}
	}
}

func quarantineKey(fingerprint quarantine.Fingerprint) string {
	return distribution.QuarantinePrefix + fingerprint.String()
}

// write merges the entry with the one in the store. A conflict is settled by reading again.
func (c *crashes) write(ctx context.Context, entry quarantine.Entry) {
	ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
	defer cancel()
	key := quarantineKey(entry.Fingerprint)
	for {
		current, err := c.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return
		}
		if err == nil {
			c.merge(current.Value)
		}
		value, err := json.Marshal(c.entry(entry))
		if err != nil {
			return
		}
		_, err = c.store.CompareAndSwap(ctx, key, current.Revision, value, 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
	}
}

// entry returns the present entry of the fingerprint, or the given one if there is none any more.
func (c *crashes) entry(fallback quarantine.Entry) quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.find(fallback.Fingerprint); ok {
		return e
	}
	return fallback
}

func (c *crashes) merge(value []byte) {
	var entry quarantine.Entry
	if json.Unmarshal(value, &entry) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(c.clock.now(), entry)
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

// forbid quarantines a fingerprint at an operator's word.
func (c *crashes) forbid(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	losses := make([]quarantine.Loss, quarantine.LossLimit)
	c.mu.Lock()
	for i := range losses {
		c.serial++
		losses[i] = quarantine.Loss{Target: operatorLoss, Serial: c.serial}
	}
	entry := quarantine.Entry{Fingerprint: fingerprint, Losses: losses}
	if known, ok := c.find(fingerprint); ok {
		entry.Epoch = known.Epoch
	}
	c.table.Merge(c.clock.now(), entry)
	c.mu.Unlock()
	return c.put(ctx, fingerprint)
}

// operatorLoss stands in the place of a target in the losses that an operator's word counts for.
const operatorLoss = "operator"

// releaseFingerprint ends a quarantine at an operator's word.
func (c *crashes) releaseFingerprint(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	c.mu.Lock()
	_, ok := c.table.Release(c.clock.now(), fingerprint)
	c.mu.Unlock()
	if !ok {
		return store.ErrNotFound
	}
	return c.put(ctx, fingerprint)
}

// find returns the entry of the fingerprint. c.mu is held.
func (c *crashes) find(fingerprint quarantine.Fingerprint) (quarantine.Entry, bool) {
	for _, e := range c.table.Entries(c.clock.now()) {
		if e.Fingerprint == fingerprint {
			return e, true
		}
	}
	return quarantine.Entry{}, false
}

// put writes the entry of the fingerprint to the store.
func (c *crashes) put(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	c.mu.Lock()
	entry, _ := c.find(fingerprint)
	c.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "quarantine entry")
	}
	key := quarantineKey(fingerprint)
	current, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, key, current.Revision, value, 0)
	return err
}

// parseFingerprint returns the fingerprint with the given String form.
func parseFingerprint(s string) (quarantine.Fingerprint, error) {
	value, err := strconv.ParseUint(s, 16, 64)
	return quarantine.Fingerprint(value), errors.Wrapf(err, "fingerprint %q: use 16 hexadecimal digits", s)
}
