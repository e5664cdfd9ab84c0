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
	// askInterval is the least time between two requests for the ejection of a target.
	askInterval = 2 * time.Second
	// collectPermitsInterval is the least time between two looks for permits that may be collected.
	collectPermitsInterval = 5 * time.Second
	// permitTimeout bounds one change of a permit document.
	permitTimeout = 2 * time.Second
	// permitTries is how often a change is tried when other nodes change the document at the same time.
	permitTries = 4
)

// ejector asks for, renews and withdraws the ejection permits of the targets beside this node, and keeps what the node
// knows of the permits of all services. It drives the package eject.
type ejector struct {
	node *Node

	mu    sync.Mutex
	views map[model.ServiceName]*eject.View
	// held are the targets beside this node that have a permit of this incarnation.
	held      map[model.TargetID]*heldPermit
	collected time.Duration
}

// heldPermit is a permit of this node.
type heldPermit struct {
	service model.ServiceName
	granted bool
	// asked is when the permit was last asked for or renewed.
	asked time.Duration
}

func newEjector(n *Node) *ejector {
	return &ejector{
		node: n, views: make(map[model.ServiceName]*eject.View), held: make(map[model.TargetID]*heldPermit),
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
	e.learn()
	now := e.node.clock.now()
	suspects := make(map[model.TargetID]model.Target)
	for _, t := range e.node.control.targets() {
		if t.Suspect {
			suspects[t.ID] = t
		}
	}
	for id, t := range suspects {
		e.hold(ctx, now, id, t.Service)
	}
	for id, permit := range e.held {
		if _, ok := suspects[id]; !ok {
			e.withdraw(ctx, id, permit)
		}
	}
	if now-e.collected >= collectPermitsInterval && e.node.distributor.Status().Watcher {
		e.collected = now
		e.collect(ctx)
	}
}

// learn takes over the permit documents that the exchange brought.
func (e *ejector) learn() {
	snapshot := e.node.distributor.Snapshot()
	now := e.node.clock.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, document := range snapshot.Ejections {
		changed = e.learnDocument(document, now) || changed
	}
	if changed {
		e.node.views.invalidate()
	}
}

// learnDocument takes over one document. e.mu is held.
func (e *ejector) learnDocument(document config.Document, now time.Duration) bool {
	service := model.ServiceName(document.Key[len(eject.Key("")):])
	doc, err := eject.Decode(document.Value)
	if err != nil {
		return false
	}
	return e.view(service).Learn(doc, document.Revision, e.node.distributor.PermitAge(document.Key), now)
}

// view returns the view of a service. e.mu is held.
func (e *ejector) view(service model.ServiceName) *eject.View {
	v := e.views[service]
	if v == nil {
		v = new(eject.View)
		e.views[service] = v
	}
	return v
}

// honoured returns the targets that this node holds to be ejected.
func (e *ejector) honoured() map[model.TargetID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.node.clock.now()
	out := make(map[model.TargetID]bool)
	for _, v := range e.views {
		for _, id := range v.Honoured(now) {
			out[id] = true
		}
	}
	return out
}

// hold asks for the ejection of a suspected target, or renews it.
func (e *ejector) hold(ctx context.Context, now time.Duration, id model.TargetID, service model.ServiceName) {
	permit := e.held[id]
	if permit == nil {
		permit = &heldPermit{service: service, asked: now - askInterval}
		e.held[id] = permit
	}
	if permit.granted && now-permit.asked < eject.RenewEvery || now-permit.asked < askInterval {
		return
	}
	permit.asked = now
	ask := eject.Ask{Target: id, Holder: e.node.self.ID, Incarnation: e.node.self.Incarnation, Reason: "suspected"}
	err := e.change(ctx, service, func(doc eject.Document) (eject.Document, error) {
		renewed, err := eject.Renew(doc, ask)
		if !errors.Is(err, eject.ErrNoEntry) {
			return renewed, err
		}
		return e.request(doc, service, ask)
	})
	e.noteAnswer(id, permit, err)
}

func (e *ejector) request(doc eject.Document, service model.ServiceName, ask eject.Ask) (eject.Document, error) {
	view := e.node.acceptor.view.Load().Service(service)
	if view == nil {
		return doc, errors.Errorf("service %s is not declared", service)
	}
	return eject.Request(doc, view.CapacityTargets(), view.Service.FloorSlots, ask)
}

func (e *ejector) noteAnswer(id model.TargetID, permit *heldPermit, err error) {
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

// withdraw ends the permit of a target that is no longer suspected. The permit is kept in mind until the store has
// taken the change.
func (e *ejector) withdraw(ctx context.Context, id model.TargetID, permit *heldPermit) {
	now := e.node.clock.now()
	if !permit.granted {
		delete(e.held, id)
		return
	}
	if now-permit.asked < askInterval {
		return
	}
	permit.asked = now
	err := e.change(ctx, permit.service, func(doc eject.Document) (eject.Document, error) {
		return eject.Withdraw(doc, id)
	})
	if err == nil || errors.Is(err, eject.ErrNoEntry) || errors.Is(err, eject.ErrWithdrawn) {
		delete(e.held, id)
	}
}

// collect frees the shares of permits that have ended.
func (e *ejector) collect(ctx context.Context) {
	e.mu.Lock()
	services := make([]model.ServiceName, 0, len(e.views))
	for service := range e.views {
		services = append(services, service)
	}
	e.mu.Unlock()
	for _, service := range services {
		e.collectService(ctx, service)
	}
}

func (e *ejector) collectService(ctx context.Context, service model.ServiceName) {
	e.mu.Lock()
	doc, err := e.view(service).Collect(e.node.clock.now())
	_, revision := e.view(service).Document()
	e.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	// A failure needs no handling: the next round collects again, from a newer document.
	_ = e.swap(ctx, service, doc, revision)
}

// change reads the newest permit document, changes it and writes it back. A lost answer needs no settling: the next step
// reads the document again.
func (e *ejector) change(ctx context.Context, service model.ServiceName, apply func(eject.Document) (eject.Document, error)) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	for try := 1; ; try++ {
		err := e.changeOnce(ctx, service, apply)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || try == permitTries {
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
