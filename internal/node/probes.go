package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
)

// probeClaimTimeout limits the calls of the store that claim a probe. A node that learns later that it has a probe does not use it.
const probeClaimTimeout = 500 * time.Millisecond

const (
	// maxProbeClaimDelay is the time over which the nodes that have the request when its probe is due spread out their claims. It is no
	// longer than the time after which a node may try again.
	maxProbeClaimDelay = time.Second
	// probeClaimDelayShare is the part of the time left for a request over which its node spreads out its claim, if that is shorter.
	probeClaimDelayShare = 0.25
)

// claimProbe reports whether the attempt is the probe of its quarantined fingerprint, and notes it in head. The store decides which
// node gets it: the first one that writes the entry with the next probe.
func (c *crashTracker) claimProbe(ctx context.Context, head *peerv1.ForwardHead) bool {
	fingerprint := quarantine.Fingerprint(head.Fingerprint)
	c.mu.Lock()
	due, wait := c.table.ProbeDue(c.clock.now(), fingerprint), c.table.ProbeWait(fingerprint, c.nodeHash, probeClaimDelay(ctx))
	c.mu.Unlock()
	if !due || !c.awaitProbeTurn(ctx, fingerprint, wait) {
		return false
	}
	began := c.clock.now()
	ctx, cancel := context.WithTimeout(ctx, probeClaimTimeout)
	defer cancel()
	key := quarantineKey(fingerprint)
	current, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err == nil {
		c.merge(current.Value)
	}
	c.mu.Lock()
	claimed, due := c.table.ClaimProbe(c.clock.now(), fingerprint)
	c.mu.Unlock()
	if !due {
		return false
	}
	value, err := json.Marshal(claimed)
	if err != nil {
		return false
	}
	if _, err := c.store.CompareAndSwap(ctx, key, current.Revision, value, 0); err != nil {
		return false
	}
	c.merge(value)
	if c.clock.now()-began > probeClaimTimeout {
		// The process was paused: another node may have the next probe by now.
		return false
	}
	head.Probe, head.ProbeEpoch = uint32(claimed.Probes), claimed.Epoch
	c.log.Emit(events.QuarantineProbed, events.ServiceField(model.ServiceName(head.Service)), events.TargetField(model.TargetID(head.Target)),
		events.FingerprintField(fingerprint.String()), events.CountField(claimed.Probes))
	return true
}

// awaitProbeTurn waits for the turn of this node to claim the probe, so that the nodes behind the first one find its claim and write
// nothing. It returns false if the probe is claimed meanwhile or ctx ends.
func (c *crashTracker) awaitProbeTurn(ctx context.Context, fingerprint quarantine.Fingerprint, wait time.Duration) bool {
	began := c.clock.now()
	err := sleep(ctx, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.table.AddProbeWait(fingerprint, c.clock.now()-began)
		return false
	}
	_, due := c.table.ClaimProbe(c.clock.now(), fingerprint)
	return due
}

// probeClaimDelay returns the time within which the node of a request claims a probe.
func probeClaimDelay(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxProbeClaimDelay
	}
	share := time.Duration(probeClaimDelayShare * float64(time.Until(deadline)))
	return max(min(share, maxProbeClaimDelay), 0)
}

// decideProbe is decide for an attempt with a claimed probe. c.mu is held.
func (c *crashTracker) decideProbe(head *peerv1.ForwardHead, start bool) quarantine.Decision {
	fingerprint, target := quarantine.Fingerprint(head.Fingerprint), model.TargetID(head.Target)
	probe := quarantine.ClaimedProbe{Epoch: head.ProbeEpoch, Number: int(head.Probe)}
	decision := c.table.MayProbe(c.clock.now(), fingerprint, target, probe)
	if decision.Allowed && start {
		c.table.StartProbe(fingerprint, target)
	}
	return decision
}
