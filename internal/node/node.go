package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// Node is a running daemon: its listeners, its clients of the store, peers and upstreams, and its control loop.
type Node struct {
	settings *settings.Settings
	ports    Ports
	self     model.Node
	clock    clock
	metrics  *metrics.Metrics
	log      *events.Log

	store       store.Store
	peers       *peer.Client
	peerServer  *peer.Server
	upstreams   *upstream.Client
	admitter    *admitter
	acceptor    *acceptor
	once        *onceRunner
	distributor *distribution.Distributor
	paths       *paths
	loads       *loads
	views       *viewPublisher
	control     *control
	crashes     *crashTracker
	heartbeats  *heartbeats
	departures  departureKeeper
	quotas      *quotas

	// storeFailing is set when a call to the store fails and cleared when the store responds again.
	storeFailing atomic.Bool
	// remoteAddresses holds the peer addresses of the nodes in other regions.
	remoteAddresses atomic.Pointer[map[string]bool]
	// ready is set once a view with the complete configuration is active.
	ready    atomic.Bool
	stopOnce sync.Once
	stop     chan struct{}
}

// secretBytes is the length of the key that signs operation tickets.
const secretBytes = 32

// New returns a node that is not started.
func New(s *settings.Settings, m *metrics.Metrics, log *events.Log, ports Ports) (*Node, error) {
	incarnation := model.Incarnation(time.Now().UnixMicro())
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "node: random secret")
	}
	n := &Node{
		settings: s, ports: ports, self: s.Identity(incarnation), clock: newClock(), metrics: m, log: log,
		paths: newPaths(), loads: newLoads(), heartbeats: newHeartbeats(), stop: make(chan struct{}),
	}
	n.store = ports.Store
	n.peers = peer.NewClient(n.self.ID, peer.Options{OnBytes: n.countPeerBytes})
	n.upstreams = upstream.NewClient(s.Limits.MaxHeaderBytes, ports.Upstreams)
	n.upstreams.SetCallers(ports.Callers)
	n.crashes = newCrashTracker(n.clock, n.self, n.store, log)
	n.crashes.notify = n.notifyAdmittingNodes
	n.admitter = newAdmitter(n.clock, incarnation, n.admissionLimits(), n.upstreams, n.crashes)
	n.admitter.retryWindows = newRetryWindows(s.Retries)
	n.admitter.retryWindows.targetsOf = n.targetCount
	n.buildAcceptor(binary.LittleEndian.Uint64(secret))
	n.buildOnce(secret)
	n.buildQuotas()
	n.views = &viewPublisher{node: n, dirty: make(chan struct{}, 1), memberLogger: newMemberLogger(n.self, log)}
	if err := n.buildDistributor(binary.LittleEndian.Uint64(secret[8:])); err != nil {
		return nil, err
	}
	n.admitter.hold(true)
	n.control = newControl(n)
	n.admitter.countsAsFailure = n.countsAsFailure
	n.admitter.checkAccess = n.acceptor.refuseUnchecked
	n.admitter.onAttemptEnd = n.control.detection.observe
	n.admitter.decideTrial = n.control.detection.decideTrial
	n.admitter.onBreakerEvent = n.logBreakerEvent
	n.admitter.onAnswerDropped = func(id model.AttemptID) { log.Emit(events.AnswersDropped, events.CountField(1)) }
	n.acceptor.pathChanged = n.views.invalidate
	n.views.publish()
	return n, nil
}

func (n *Node) admissionLimits() admission.Limits {
	limits := admission.DefaultLimits()
	limits.QueuePerTarget = n.settings.Limits.QueuePerTarget
	limits.RetainedBytes = n.settings.Limits.RetainedResponseBytes
	return limits
}

func (n *Node) buildAcceptor(seed uint64) {
	n.acceptor = &acceptor{
		self: n.self, clock: n.clock, limits: n.settings.Limits,
		dialect: n.ports.Callers, headers: headers.NewRules(n.ports.Callers, n.ports.Upstreams), callerService: n.settings.Upstream.Service, retryStatuses: n.settings.Retries.Statuses,
		ready: n.ready.Load, cutoff: newShutdownCutoff(),
		peers: n.peers, openAttempts: newOpenAttempts(), admitter: n.admitter, paths: n.paths, regionLink: newLinkBudget(n.settings.Limits.LinkBytesPerSecond),
		budgets: newBudgets(n.settings.Retries), answerSizes: newRouteAverages[int64](), attemptDurations: newRouteAverages[time.Duration](), metrics: n.metrics, log: n.log, seed: seed,
	}
}

func (n *Node) buildOnce(secret []byte) {
	n.once = &onceRunner{
		acceptor: n.acceptor,
		claims:   once.NewClaims(n.store, n.self.ID, n.self.Incarnation, once.Options{}),
		tickets:  once.NewTickets(n.self.ID, n.self.Incarnation, secret, once.TicketLimits{}),
		nodeOf:   n.nodeOf,
	}
	n.acceptor.once = n.once
}

func (n *Node) buildQuotas() {
	q := newQuotas(n.self, n.clock, n.peers, n.log)
	q.fleet = n.quotaFleet
	q.limitOf = func(name model.AccountName) (quota.Limit, bool) {
		return limitOfAccount(n.acceptor.view.Load().Accounts.ByName(name))
	}
	q.isNeeded = func() bool { return n.ready.Load() && n.acceptor.view.Load().Accounts.HasLimits() }
	q.mayBorrow = func() bool { return n.ready.Load() && !n.acceptor.lameDuck.Load() }
	q.onFailure = func(id model.NodeID, _ string, cause error) {
		if node, found := n.nodeOf(id); found {
			n.acceptor.recordPathFailure(node, cause)
		}
	}
	n.quotas, n.acceptor.quotas = q, q
}

func (n *Node) buildDistributor(seed uint64) error {
	seeds := make([]string, len(n.settings.Peers.Seeds))
	for i, address := range n.settings.Peers.Seeds {
		seeds[i] = address.String()
	}
	d, err := distribution.New(distribution.Options{
		Self: n.self, Store: n.store, Puller: n.peers, Seeds: seeds, Seed: seed, Now: n.clock.now,
		Report:       n.logDistributionEvent,
		OnSnapshot:   func(*distribution.Snapshot) { n.views.invalidate() },
		OnDepartures: n.handleRestoredDepartures,
		StoreTimeout: n.settings.Store.Timeout,
		LoadInterval: n.loadInterval(), HeartbeatInterval: heartbeatInterval,
		NoEjections: !n.settings.Ejection.Detector,
	})
	n.distributor, n.departures = d, d
	n.crashes.isWatching = func() bool { return d.Status().Watcher }
	return err
}

// loadIntervalWithDetector is the minimum time between two versions of this node's member record that differ only in load
// counters. The failure detectors of other targets compare against these counters, so the interval adds to the detection
// time.
const loadIntervalWithDetector = time.Second

// heartbeatInterval is the minimum time between two heartbeats in this node's member record. Nodes whose calls to a dead
// node fail avoid it without waiting for missed heartbeats, so the heartbeats matter only to the other nodes.
const heartbeatInterval = 2 * time.Second

// loadIntervalWithoutDetector replaces loadIntervalWithDetector when no failure detector compares the counters.
const loadIntervalWithoutDetector = 10 * time.Second

func (n *Node) loadInterval() time.Duration {
	if n.settings.Ejection.Detector {
		return loadIntervalWithDetector
	}
	return loadIntervalWithoutDetector
}

// nodeOf returns the node with the given ID from the member records of the fleet.
func (n *Node) nodeOf(id model.NodeID) (model.Node, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	members := n.distributor.Snapshot().Members
	if members == nil {
		return model.Node{}, false
	}
	member, ok := members.Members[id]
	if !ok {
		return model.Node{}, false
	}
	return member.Record.Node, true
}

// Run serves until Shutdown is called or a listener fails. After Shutdown it first finishes the requests in flight, within
// the grace period.
func (n *Node) Run() error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Emit(events.NodeStarted, events.NodeField(n.self.ID), events.IncarnationField(n.self.Incarnation),
		events.RegionField(n.self.Region), events.DomainField(n.self.Domain))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(background)
	servers := n.serve(ctx, group, listeners)
	group.Go(func() error { n.distributor.Run(ctx); return nil })
	group.Go(func() error { n.control.run(ctx); return nil })
	group.Go(func() error { n.newLoadExchange(listeners.loads).Run(ctx); return nil })
	group.Go(func() error { n.views.run(ctx); return nil })
	group.Go(func() error { n.crashes.run(ctx); return nil })
	group.Go(func() error { n.quotas.run(ctx); return nil })
	select {
	case <-n.stop:
		n.shutdown(servers)
	case <-ctx.Done():
	}
	cancel()
	err = group.Wait()
	n.peers.Close()
	n.upstreams.Close()
	n.log.Flush()
	return err
}

// Shutdown starts the graceful shutdown. Run returns when it is complete.
func (n *Node) Shutdown() { n.stopOnce.Do(func() { close(n.stop) }) }

// handleAnnouncement applies an announcement of an upstream.
func (n *Node) handleAnnouncement(a upstream.Announcement) error {
	phase, _ := model.ParsePhase(a.Phase)
	deregistered, err := n.admitter.announce(admission.Announcement{
		Service: a.Service, Target: a.Target, Address: a.Address, Slots: a.Slots, Phase: phase, Load: a.Load,
		ColdRemaining: a.ColdRemaining, HasColdRemaining: a.HasColdRemaining, Sequence: a.Sequence, StartTimeMS: a.StartTimeMS,
	})
	if err != nil {
		n.log.Emit(events.AnnounceRefused, events.AddressField(a.Address), events.CauseField(err))
		return err
	}
	if deregistered {
		n.log.Emit(events.AnnounceIgnored, events.TargetField(a.Target), events.ServiceField(a.Service), events.PhaseField(phase))
	} else {
		n.control.detection.recordAnnouncement(a.Target)
		n.control.wake()
	}
	if phase.IsLeaving() {
		return n.keepDeparture(a.Target)
	}
	return nil
}

// targetCount returns the number of targets of the service in the current view.
func (n *Node) targetCount(name model.ServiceName) int {
	service := n.acceptor.view.Load().Service(name)
	if service == nil {
		return 0
	}
	return len(service.Targets)
}

// errNodeStopping is the error of a deregistration that ends with this process.
var errNodeStopping = errors.New("node: stopping; repeat the call")

// handleDeregistration applies the deregistration of an upstream. It returns an error if the deregistration may end with this
// process. A stopping node leaves the acknowledgement to the next process.
func (n *Node) handleDeregistration(target model.TargetID, startTime int64) error {
	if !n.admitter.deregister(target, startTime, time.Now().UnixMilli()) {
		n.log.Emit(events.UnknownTargetLeft, events.TargetField(target))
	}
	n.control.wake()
	if n.acceptor.lameDuck.Load() {
		n.log.Emit(events.LeaveRefused, events.TargetField(target))
		return errNodeStopping
	}
	return n.keepDeparture(target)
}

// countsAsFailure reports whether the outcome of an attempt counts as a failure of its target. A failing response does not
// if it may be caused by a failed call that the upstream itself sent through this node.
func (n *Node) countsAsFailure(o observation) bool {
	if !n.control.detection.isFailure(o) {
		return false
	}
	return o.result.Outcome != upstream.Answered || !n.acceptor.callFailures.mayHaveCaused(n.clock.now())
}
