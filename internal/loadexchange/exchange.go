package loadexchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// domainInterval is the least time between two datagrams to the neighbors.
	domainInterval = 100 * time.Millisecond
	// regionInterval is the same to another domain of the region, remoteInterval to one of another region.
	regionInterval = 200 * time.Millisecond
	remoteInterval = 400 * time.Millisecond
	// keepFor is how long the load of a neighbor's target is passed on.
	keepFor = 3 * time.Second
	// maxNeighbors bounds the datagrams of a node in a large domain.
	maxNeighbors = 32
	// maxDomainTargets bounds the targets whose load is passed on to other domains.
	maxDomainTargets = 10_000
	// maxEntries keeps a datagram below the usual size of a packet.
	maxEntries = 40
	// maxDatagramBytes bounds a datagram that is read.
	maxDatagramBytes = 4096
)

// Exchange sends and receives the load of targets.
type Exchange struct {
	options Options

	mu sync.Mutex
	// domain is the load of the targets of the own domain.
	domain map[model.TargetID]model.TargetLoad
	// outboxes are by address; that of the neighbors, who are all sent the same, has none.
	outboxes map[string]*outbox
}

// New returns an Exchange that is not started.
func New(options Options) *Exchange {
	return &Exchange{
		options: options, domain: make(map[model.TargetID]model.TargetLoad), outboxes: make(map[string]*outbox),
	}
}

// Run takes part in the exchange until ctx ends. It closes the connection.
func (x *Exchange) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(x.receive)
	ticker := time.NewTicker(domainInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		x.send()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	// The node is ending; there is nothing to do about a failure to close.
	_ = x.options.Conn.Close()
	tasks.Wait()
}

// send tells the partners what has changed.
func (x *Exchange) send() {
	now := x.options.Now()
	partners := x.options.Partners()
	own := x.options.Own()
	x.mu.Lock()
	x.keep(now, own)
	toNeighbors := x.digests(now, "", domainInterval, own)
	toDomains := make([][]*peerv1.LoadDigest, len(partners.Domains))
	for i, partner := range partners.Domains {
		toDomains[i] = x.digests(now, partner.Address, intervalTo(partner), x.domain)
	}
	x.forget(partners)
	x.mu.Unlock()
	x.sendToNeighbors(partners, toNeighbors)
	for i, partner := range partners.Domains {
		for _, digest := range toDomains[i] {
			digest.Scope = peerv1.LoadScope_LOAD_SCOPE_OTHER_DOMAIN
			x.write(partner.Address, digest)
		}
	}
}

func intervalTo(partner membership.DomainReceiver) time.Duration {
	if partner.OtherRegion {
		return remoteInterval
	}
	return regionInterval
}

// keep adds the own targets to those of the domain and drops what is too old. x.mu is held.
func (x *Exchange) keep(now time.Duration, own map[model.TargetID]model.TargetLoad) {
	for id, load := range own {
		x.domain[id] = load
	}
	for id, load := range x.domain {
		if now-load.At > keepFor {
			delete(x.domain, id)
		}
	}
}

// forget drops the outboxes of nodes that are no partners any more. x.mu is held.
func (x *Exchange) forget(partners membership.LoadReceivers) {
	kept := map[string]bool{"": true}
	for _, partner := range partners.Domains {
		kept[partner.Address] = true
	}
	for address := range x.outboxes {
		if !kept[address] {
			delete(x.outboxes, address)
		}
	}
}

// digests returns what the destination is to be told of the loads. x.mu is held.
func (x *Exchange) digests(now time.Duration, address string, interval time.Duration, loads map[model.TargetID]model.TargetLoad) []*peerv1.LoadDigest {
	box := x.outboxes[address]
	if box == nil {
		box = newOutbox(interval, now)
		x.outboxes[address] = box
	}
	due := box.due(now, loads)
	var digests []*peerv1.LoadDigest
	for len(due) > 0 {
		n := min(len(due), maxEntries)
		digest := new(peerv1.LoadDigest)
		for _, id := range due[:n] {
			digest.Entries = append(digest.Entries, entryOf(now, id, loads[id]))
		}
		digests = append(digests, digest)
		due = due[n:]
	}
	return digests
}

func entryOf(now time.Duration, id model.TargetID, load model.TargetLoad) *peerv1.LoadEntry {
	return &peerv1.LoadEntry{
		Target: string(id), Free: int32(load.Free), WaitMs: int32(load.Wait.Milliseconds()), Doubt: int32(load.Doubt),
		AgeMs: int32((now - load.At).Milliseconds()),
	}
}

func loadOf(now time.Duration, entry *peerv1.LoadEntry) model.TargetLoad {
	return model.TargetLoad{
		Free: int(entry.Free), Wait: time.Duration(entry.WaitMs) * time.Millisecond, Doubt: int(entry.Doubt),
		At: now - max(time.Duration(entry.AgeMs)*time.Millisecond, 0),
	}
}

func (x *Exchange) sendToNeighbors(partners membership.LoadReceivers, digests []*peerv1.LoadDigest) {
	neighbors := partners.Neighbors[:min(len(partners.Neighbors), maxNeighbors)]
	for _, digest := range digests {
		for _, address := range neighbors {
			x.write(address, digest)
		}
	}
}

func (x *Exchange) write(address string, digest *peerv1.LoadDigest) {
	datagram, err := proto.Marshal(digest)
	if err != nil {
		x.options.Failed("encode", address, err)
		return
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		x.options.Failed("send", address, err)
		return
	}
	n, err := x.options.Conn.WriteTo(datagram, to)
	if err != nil {
		x.options.Failed("send", address, err)
		return
	}
	x.options.Count(address, true, n)
}

// receive takes in datagrams until the connection is closed.
func (x *Exchange) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.options.Failed("receive", "", err)
			time.Sleep(domainInterval)
			continue
		}
		x.options.Count(from.String(), false, n)
		x.take(buffer[:n], from.String())
	}
}

// take takes in one datagram.
func (x *Exchange) take(datagram []byte, from string) {
	digest := new(peerv1.LoadDigest)
	if err := proto.Unmarshal(datagram, digest); err != nil {
		x.options.Failed("decode", from, err)
		return
	}
	x.learn(digest)
	if digest.Scope == peerv1.LoadScope_LOAD_SCOPE_OTHER_DOMAIN {
		digest.Scope = peerv1.LoadScope_LOAD_SCOPE_RELAYED
		x.sendToNeighbors(x.options.Partners(), []*peerv1.LoadDigest{digest})
	}
}

func (x *Exchange) learn(digest *peerv1.LoadDigest) {
	now := x.options.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, entry := range digest.Entries {
		id, load := model.TargetID(entry.Target), loadOf(now, entry)
		x.options.Learned(id, load)
		if digest.Scope == peerv1.LoadScope_LOAD_SCOPE_UNSPECIFIED && len(x.domain) < maxDomainTargets {
			x.domain[id] = load
		}
	}
}
