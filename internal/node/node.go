package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// Node is one daemon.
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
	crashes     *crashes
	heartbeats  *heartbeats

	// storeFailing is set from a failed call of the store until the next answer.
	storeFailing atomic.Bool
	// remote holds the peer addresses of the nodes in other regions.
	remote atomic.Pointer[map[string]bool]
	// ready is set once a view with the complete configuration is in force.
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
	n.peers = peer.NewClient(n.self.ID, peer.Options{Count: n.countPeerBytes})
	n.upstreams = upstream.NewClient(s.Limits.MaxHeaderBytes, ports.Upstreams)
	n.crashes = newCrashes(n.clock, n.self, n.store, log)
	n.crashes.warn = n.warnService
	n.admitter = newAdmitter(n.clock, incarnation, n.admissionLimits(), n.upstreams, n.crashes)
	n.buildAcceptor(binary.LittleEndian.Uint64(secret))
	n.buildOnce(secret)
	n.views = &viewPublisher{node: n, dirty: make(chan struct{}, 1), members: newMemberWatch(n.self, log)}
	if err := n.buildDistributor(binary.LittleEndian.Uint64(secret[8:])); err != nil {
		return nil, err
	}
	n.control = newControl(n)
	n.admitter.countsAgainst = n.countsAgainst
	n.admitter.observe = n.control.detection.observe
	n.admitter.mayTry = n.control.detection.mayTry
	n.admitter.judged = n.logJudgement
	n.admitter.dropped = func(id model.AttemptID) { log.Emit(events.AnswersDropped, events.CountField(1)) }
	n.acceptor.pathChanged = n.views.invalidate
	n.views.publish()
	return n, nil
}

func (n *Node) admissionLimits() admission.Limits {
	limits := admission.DefaultLimits()
	limits.QueuePerTarget = n.settings.Limits.QueuePerTarget
	limits.HeldBytes = n.settings.Limits.HeldAnswerBytes
	return limits
}

func (n *Node) buildAcceptor(seed uint64) {
	n.acceptor = &acceptor{
		self: n.self, clock: n.clock, limits: n.settings.Limits,
		dialect: n.ports.Callers, callerService: n.settings.Upstream.Service, retryStatuses: n.settings.Retries.Statuses,
		ready: n.ready.Load,
		peers: n.peers, admitter: n.admitter, paths: n.paths, link: newLinkBudget(n.settings.Limits.LinkBytesPerSecond),
		budgets: newBudgets(n.settings.Retries), metrics: n.metrics, log: n.log, seed: seed,
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

func (n *Node) buildDistributor(seed uint64) error {
	seeds := make([]string, len(n.settings.Peers.Seeds))
	for i, address := range n.settings.Peers.Seeds {
		seeds[i] = address.String()
	}
	d, err := distribution.New(distribution.Options{
		Self: n.self, Store: n.store, Puller: n.peers, Seeds: seeds, Seed: seed, Now: n.clock.now,
		Report:       n.reportDistribution,
		OnSnapshot:   func(*distribution.Snapshot) { n.views.invalidate() },
		StoreTimeout: n.settings.Store.Timeout,
		LoadInterval: loadInterval,
	})
	n.distributor = d
	return err
}

// loadInterval is the least time between two versions of the own record that differ only in counters. The detectors of
// the other targets compare with the counters, so it adds to the detection time.
const loadInterval = time.Second

// nodeOf returns the node with the ID as the fleet knows it.
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

// Run serves until Shutdown is called or a listener fails, and then shuts down gracefully.
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
	group.Go(func() error { n.views.run(ctx); return nil })
	group.Go(func() error { n.crashes.run(ctx); return nil })
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

// Shutdown begins the graceful shutdown. Run returns when it is complete.
func (n *Node) Shutdown() { n.stopOnce.Do(func() { close(n.stop) }) }

// listeners are the node's open listeners.
type listeners struct {
	callers, peers, operators, upstreams net.Listener
	// health and metrics are nil without an address of their own.
	health, metrics net.Listener
}

func (n *Node) listen() (l listeners, err error) {
	for _, open := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", n.settings.Listen.Callers.String(), &l.callers},
		{"peers", n.settings.Listen.Peers.String(), &l.peers},
		{"operators", n.settings.Listen.Operators.String(), &l.operators},
		{"upstreams", n.settings.Listen.Upstreams.String(), &l.upstreams},
		{"health", optionalAddress(n.settings.Listen.Health), &l.health},
		{"metrics", optionalAddress(n.settings.Listen.Metrics), &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		*open.into, err = net.Listen("tcp", open.address)
		if err != nil {
			n.log.Emit(events.ListenerFailed, events.AddressField(open.address), events.OperationField(open.name), events.CauseField(err))
			return l, errors.Wrapf(err, "listener for %s", open.name)
		}
	}
	return l, nil
}

// optionalAddress returns "" for an address that the settings leave out.
func optionalAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

// servers are the HTTP servers that shut down gracefully.
type servers struct {
	callers, operators, upstreams *http.Server
	// plain are the servers of the health answer and the metrics, which end with the process.
	plain []*http.Server
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group, l listeners) servers {
	s := servers{
		callers:   n.httpServer(n.acceptor),
		operators: n.httpServer(n.operatorHandler()),
		upstreams: n.httpServer(n.ports.Announcements(n.announced, n.left)),
	}
	// The address is known only now if the settings leave the port to the system.
	group.Go(func() error {
		return serveHTTP(s.callers, newLimitListener(l.callers, n.settings.Limits.MaxConnections))
	})
	group.Go(func() error { return serveHTTP(s.operators, l.operators) })
	group.Go(func() error { return serveHTTP(s.upstreams, l.upstreams) })
	if l.health != nil {
		server := n.httpServer(http.HandlerFunc(n.acceptor.serveHealthOnly))
		s.plain = append(s.plain, server)
		group.Go(func() error { return serveHTTP(server, l.health) })
	}
	if l.metrics != nil {
		server := n.httpServer(expvar.Handler())
		s.plain = append(s.plain, server)
		group.Go(func() error { return serveHTTP(server, l.metrics) })
	}
	n.peerServer = peer.NewServer(&handler{node: n}, int(n.settings.Limits.MaxBodyBytes), peer.Options{})
	group.Go(func() error { return n.peerServer.Serve(ctx, l.peers) })
	return s
}

func (n *Node) httpServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.Limits.ReadHeaderTimeout,
		IdleTimeout:       n.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    int(n.settings.Limits.MaxHeaderBytes),
		ErrorLog:          nil,
	}
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "http server")
	}
	return nil
}

// announced takes in what an upstream says about itself.
func (n *Node) announced(a upstream.Announcement) error {
	phase, _ := model.ParsePhase(a.Phase)
	err := n.admitter.announce(admission.Announcement{
		Service: a.Service, Target: a.Target, Address: a.Address, Slots: a.Slots, Phase: phase, Load: a.Load,
		ColdLeft: a.ColdLeft, Sequence: a.Sequence, Born: a.Born,
	})
	if err != nil {
		n.log.Emit(events.AnnounceRefused, events.AddressField(a.Address), events.CauseField(err))
		return err
	}
	n.control.detection.announced(a.Target)
	n.control.wake()
	return nil
}

// left takes in that an upstream leaves.
func (n *Node) left(target model.TargetID, born int64) {
	n.admitter.leave(target, born)
	n.control.wake()
}

// countsAgainst reports whether the end of an attempt counts against its target.
func (n *Node) countsAgainst(o observation) bool {
	if !n.control.detection.failed(o) {
		return false
	}
	return o.result.Outcome != upstream.Answered || !n.acceptor.callFailures.explain(n.clock.now())
}

// countPeerBytes counts the bytes on connections to other nodes.
func (n *Node) countPeerBytes(address, purpose string, sent bool, bytes int) {
	direction := metrics.Received
	if sent {
		direction = metrics.Sent
	}
	n.metrics.LinkBytes(purposeOf(purpose, n.isRemote(address)), direction, int64(bytes))
}

func purposeOf(purpose string, remote bool) metrics.Purpose {
	switch {
	case purpose == peer.PurposeTraffic && remote:
		return metrics.PurposeForwardRegion
	case purpose == peer.PurposeTraffic:
		return metrics.PurposeForward
	case remote:
		return metrics.PurposeExchangeRegion
	}
	return metrics.PurposeExchange
}

// isRemote reports whether the address is that of a node in another region.
func (n *Node) isRemote(address string) bool {
	remote := n.remote.Load()
	return remote != nil && (*remote)[address]
}

// noteRemote keeps the addresses of the nodes in other regions.
func (n *Node) noteRemote(members *membership.Snapshot) {
	remote := make(map[string]bool)
	for _, member := range members.Members {
		if member.Record.Region != n.self.Region {
			remote[member.Record.PeerAddress] = true
		}
	}
	n.remote.Store(&remote)
}
