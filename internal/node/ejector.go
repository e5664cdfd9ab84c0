package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/eject"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

const (
	// ejectInterval is the time between two steps of the ejector.
	ejectInterval = 500 * time.Millisecond
	// permitRequestInterval is the minimum time between two requests for, renewals or withdrawals of the permit of a target.
	permitRequestInterval = 2 * time.Second
	// permitGCInterval is the minimum time between two garbage collections of expired permits.
	permitGCInterval = 5 * time.Second
	// permitTimeout limits one change of a permit document, with all its tries.
	permitTimeout = 2 * time.Second
	// maxPermitTries limits the tries of a change that conflicts with concurrent changes by other nodes.
	maxPermitTries = 4
)

// ejector requests, renews and withdraws the ejection permits of the local targets, and caches the permits of all
// services. It drives the package eject.
type ejector struct {
	node *Node

	mu    sync.Mutex
	views map[model.ServiceName]*eject.View
	// ownPermits are the permits that this incarnation has requested for its local targets.
	ownPermits map[model.TargetID]*ownPermit
	lastGC     time.Duration
	// storeEra is the newest era of the store that the node has received, and eraReceivedAt the time when it received it.
	storeEra      int64
	eraReceivedAt time.Duration
}

// ownPermit is a permit of this node.
type ownPermit struct {
	service model.ServiceName
	granted bool
	// requestedAt is the time of the last request, renewal or withdrawal.
	requestedAt time.Duration
}

func newEjector(n *Node) *ejector {
	return &ejector{
		node: n, views: make(map[model.ServiceName]*eject.View), ownPermits: make(map[model.TargetID]*ownPermit),
	}
}

func (e *ejector) run(ctx context.Context) {
	if !e.node.settings.Ejection.Permits {
		return
	}
	ticker := time.NewTicker(ejectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (e *ejector) step(ctx context.Context) {
	e.mergeSnapshot()
	now := e.node.clock.now()
	suspected := make(map[model.TargetID]model.Target)
	for _, t := range e.node.control.targets() {
		if t.Suspected {
			suspected[t.ID] = t
		}
	}
	for id, t := range suspected {
		e.ensurePermit(ctx, now, id, t.Service)
	}
	for id, permit := range e.ownPermits {
		if _, ok := suspected[id]; !ok {
			e.withdraw(ctx, id, permit)
		}
	}
	if now-e.lastGC >= permitGCInterval && e.node.distributor.Status().Watcher {
		e.lastGC = now
		e.collectGarbage(ctx)
	}
}

// mergeSnapshot merges the permit documents received by gossip.
func (e *ejector) mergeSnapshot() {
	snapshot := e.node.distributor.Snapshot()
	now := e.node.clock.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.receiveEra(snapshot.StoreEra, now)
	changed := false
	for _, document := range snapshot.Ejections {
		changed = e.mergeDocument(document, now) || changed
	}
	if changed {
		e.node.views.invalidate()
	}
}

// receiveEra records a new era of the store for all views. e.mu is held.
func (e *ejector) receiveEra(era int64, now time.Duration) {
	if era <= e.storeEra {
		return
	}
	e.storeEra, e.eraReceivedAt = era, now
	for _, v := range e.views {
		v.ReceiveEra(era, now)
	}
}

// mergeDocument merges one document and reports whether it was new. e.mu is held.
func (e *ejector) mergeDocument(document config.Document, now time.Duration) bool {
	service := model.ServiceName(document.Key[len(eject.Key("")):])
	doc, err := eject.Decode(document.Value)
	if err != nil {
		return false
	}
	return e.view(service).Merge(doc, document.Revision, e.node.distributor.PermitAge(document.Key), now)
}

// view returns the view of a service. e.mu is held.
func (e *ejector) view(service model.ServiceName) *eject.View {
	v := e.views[service]
	if v == nil {
		v = new(eject.View)
		v.ReceiveEra(e.storeEra, e.eraReceivedAt)
		e.views[service] = v
	}
	return v
}

// activeTargets returns the targets whose ejection permits are active at this node.
func (e *ejector) activeTargets() map[model.TargetID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.node.clock.now()
	out := make(map[model.TargetID]bool)
	for _, v := range e.views {
		for _, id := range v.ActiveTargets(now) {
			out[id] = true
		}
	}
	return out
}

// ensurePermit requests the ejection permit of a suspected target, or renews it.
func (e *ejector) ensurePermit(ctx context.Context, now time.Duration, id model.TargetID, service model.ServiceName) {
	permit := e.ownPermits[id]
	if permit == nil {
		permit = &ownPermit{service: service, requestedAt: now - permitRequestInterval}
		e.ownPermits[id] = permit
	}
	if permit.granted && now-permit.requestedAt < eject.RenewInterval || now-permit.requestedAt < permitRequestInterval {
		return
	}
	permit.requestedAt = now
	permitRequest := eject.PermitRequest{Target: id, Holder: e.node.self.ID, Incarnation: e.node.self.Incarnation, Reason: "suspected"}
	err := e.change(ctx, service, func(doc eject.Document) (eject.Document, error) {
		renewed, err := eject.Renew(doc, permitRequest)
		if !errors.Is(err, eject.ErrNoEntry) {
			return renewed, err
		}
		return e.requestPermit(doc, service, permitRequest)
	})
	e.recordPermitResult(id, permit, err)
}

func (e *ejector) requestPermit(doc eject.Document, service model.ServiceName, permitRequest eject.PermitRequest) (eject.Document, error) {
	view := e.node.acceptor.view.Load().Service(service)
	if view == nil {
		return doc, errors.Errorf("service %s is not declared", service)
	}
	return eject.Request(doc, view.CapacityTargets(), view.Service.FloorSlots, permitRequest)
}

func (e *ejector) recordPermitResult(id model.TargetID, permit *ownPermit, err error) {
	var floor *eject.FloorError
	switch {
	case err == nil && !permit.granted:
		permit.granted = true
		e.node.log.Emit(events.TargetEjected, events.TargetField(id), events.ServiceField(permit.service))
	case errors.As(err, &floor):
		permit.granted = false
		e.node.log.Emit(events.EjectionAtFloor, events.TargetField(id), events.ServiceField(permit.service),
			events.SlotsField(floor.Removal.AfterSlots), events.FloorField(floor.Removal.FloorSlots))
	case err != nil:
		permit.granted = false
		e.node.log.Emit(events.TargetAvoided, events.TargetField(id), events.ServiceField(permit.service))
	}
}

// withdraw withdraws the permit of a target that is no longer suspected. It keeps the permit in ownPermits until the store
// has accepted the change.
func (e *ejector) withdraw(ctx context.Context, id model.TargetID, permit *ownPermit) {
	now := e.node.clock.now()
	if !permit.granted {
		delete(e.ownPermits, id)
		return
	}
	if now-permit.requestedAt < permitRequestInterval {
		return
	}
	permit.requestedAt = now
	err := e.change(ctx, permit.service, func(doc eject.Document) (eject.Document, error) {
		return eject.Withdraw(doc, id)
	})
	if err == nil || errors.Is(err, eject.ErrNoEntry) || errors.Is(err, eject.ErrWithdrawn) {
		delete(e.ownPermits, id)
	}
}

// collectGarbage removes expired permits, which frees their part of the capacity floor and of the ejection limit.
func (e *ejector) collectGarbage(ctx context.Context) {
	e.mu.Lock()
	services := make([]model.ServiceName, 0, len(e.views))
	for service := range e.views {
		services = append(services, service)
	}
	e.mu.Unlock()
	for _, service := range services {
		e.collectServiceGarbage(ctx, service)
	}
}

func (e *ejector) collectServiceGarbage(ctx context.Context, service model.ServiceName) {
	e.mu.Lock()
	doc, err := e.view(service).CollectGarbage(e.node.clock.now())
	_, revision := e.view(service).Document()
	e.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	// Errors need no handling: the next garbage collection tries again with a newer document.
	_ = e.swap(ctx, service, doc, revision)
}

// change reads the newest permit document, changes it and writes it back. An unknown outcome of the write needs no
// resolution: the next step reads the document again.
func (e *ejector) change(ctx context.Context, service model.ServiceName, apply func(eject.Document) (eject.Document, error)) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	for try := 1; ; try++ {
		err := e.changeOnce(ctx, service, apply)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || try == maxPermitTries {
			return err
		}
	}
}

func (e *ejector) changeOnce(ctx context.Context, service model.ServiceName, apply func(eject.Document) (eject.Document, error)) error {
	current, err := e.node.store.Get(ctx, eject.Key(service))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	doc, err := eject.Decode(current.Value)
	if err != nil {
		return err
	}
	changed, err := apply(doc)
	if err != nil {
		return err
	}
	return e.swap(ctx, service, changed, current.Revision)
}

func (e *ejector) swap(ctx context.Context, service model.ServiceName, doc eject.Document, revision int64) error {
	value, err := doc.Encode()
	if err != nil {
		return err
	}
	started := e.node.clock.now()
	kv, err := e.node.store.CompareAndSwap(ctx, eject.Key(service), revision, value, 0)
	if err != nil {
		return err
	}
	e.node.distributor.MergeDocument(config.Document{Key: kv.Key, Value: kv.Value, Revision: kv.Revision}, started)
	return nil
}
