package loadexchange

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// domainInterval is the minimum time between two sends to the neighbors.
	domainInterval = 100 * time.Millisecond
	// regionInterval is the same for another domain of the region, remoteInterval for a domain of another region.
	regionInterval = 200 * time.Millisecond
	remoteInterval = 400 * time.Millisecond
	// loadTTL is the age up to which the load of a target is forwarded.
	loadTTL = 3 * time.Second
	// maxNeighbors bounds the neighbors to which a node in a large domain sends datagrams.
	maxNeighbors = 32
	// maxDomainTargets bounds the targets whose load is forwarded to other domains.
	maxDomainTargets = 10_000
	// maxEntries bounds the entries of a datagram, so that it fits into a packet of typical size.
	maxEntries = 40
	// maxDatagramBytes bounds the size of a received datagram.
	maxDatagramBytes = 4096
)

// Exchange sends and receives load digests.
type Exchange struct {
	options Options

	mu sync.Mutex
	// domainLoads is the load of the targets of the node's domain.
	domainLoads map[model.TargetID]model.TargetLoad
	// outboxes are keyed by address. The neighbors all receive the same digests and share the outbox with the empty address.
	outboxes map[string]*outbox
}

// New returns an Exchange that is not started.
func New(options Options) *Exchange {
	return &Exchange{
		options: options, domainLoads: make(map[model.TargetID]model.TargetLoad), outboxes: make(map[string]*outbox),
	}
}

// Run sends and receives load digests until ctx is done. It closes the connection before it returns.
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
	// The node is shutting down, so an error on close has no consequence.
	_ = x.options.Conn.Close()
	tasks.Wait()
}

// send sends the changed loads to the peers.
func (x *Exchange) send() {
	now := x.options.Now()
	peers := x.options.Peers()
	local := x.options.LocalLoads()
	x.mu.Lock()
	x.refreshDomainLoads(now, local)
	toNeighbors := x.nextDigests(now, "", domainInterval, local)
	toDomains := make([][]*peerv1.LoadDigest, len(peers.Domains))
	for i, peer := range peers.Domains {
		toDomains[i] = x.nextDigests(now, peer.Address, intervalTo(peer), x.domainLoads)
	}
	x.removeStaleOutboxes(peers)
	x.mu.Unlock()
	x.sendToNeighbors(peers, toNeighbors)
	for i, peer := range peers.Domains {
		for _, digest := range toDomains[i] {
			digest.Scope = peerv1.LoadScope_LOAD_SCOPE_OTHER_DOMAIN
			x.write(peer.Address, digest)
		}
	}
}

func intervalTo(peer membership.DomainReceiver) time.Duration {
	if peer.OtherRegion {
		return remoteInterval
	}
	return regionInterval
}

// refreshDomainLoads merges the local loads into domainLoads and removes loads older than loadTTL. x.mu is held.
func (x *Exchange) refreshDomainLoads(now time.Duration, local map[model.TargetID]model.TargetLoad) {
	for id, load := range local {
		x.domainLoads[id] = load
	}
	for id, load := range x.domainLoads {
		if now-load.At > loadTTL {
			delete(x.domainLoads, id)
		}
	}
}

// removeStaleOutboxes removes the outboxes of nodes that are no longer peers. x.mu is held.
func (x *Exchange) removeStaleOutboxes(peers membership.LoadReceivers) {
	kept := map[string]bool{"": true}
	for _, peer := range peers.Domains {
		kept[peer.Address] = true
	}
	for address := range x.outboxes {
		if !kept[address] {
			delete(x.outboxes, address)
		}
	}
}

// nextDigests returns the digests of the loads that are due for the destination, and marks the loads as sent. x.mu is
// held.
func (x *Exchange) nextDigests(now time.Duration, address string, interval time.Duration, loads map[model.TargetID]model.TargetLoad) []*peerv1.LoadDigest {
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
			digest.Entries = append(digest.Entries, encodeEntry(now, id, loads[id]))
		}
		digests = append(digests, digest)
		due = due[n:]
	}
	return digests
}

func encodeEntry(now time.Duration, id model.TargetID, load model.TargetLoad) *peerv1.LoadEntry {
	return &peerv1.LoadEntry{
		Target: string(id), Free: int32(load.Free), WaitMs: int32(load.Wait.Milliseconds()), Doubt: int32(load.RequiredSuccesses),
		AgeMs: int32((now - load.At).Milliseconds()),
	}
}

func decodeEntry(now time.Duration, entry *peerv1.LoadEntry) model.TargetLoad {
	return model.TargetLoad{
		Free:              int(max(entry.Free, 0)),
		Wait:              time.Duration(max(entry.WaitMs, 0)) * time.Millisecond,
		RequiredSuccesses: int(max(entry.Doubt, 0)),

		At: now - max(time.Duration(entry.AgeMs)*time.Millisecond, 0),
	}
}

func (x *Exchange) sendToNeighbors(peers membership.LoadReceivers, digests []*peerv1.LoadDigest) {
	neighbors := peers.Neighbors[:min(len(peers.Neighbors), maxNeighbors)]
	for _, digest := range digests {
		for _, address := range neighbors {
			x.write(address, digest)
		}
	}
}

func (x *Exchange) write(address string, digest *peerv1.LoadDigest) {
	datagram, err := proto.Marshal(digest)
	if err != nil {
		x.options.OnError("encode", address, err)
		return
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		x.options.OnError("send", address, err)
		return
	}
	n, err := x.options.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(to))
	if err != nil {
		x.options.OnError("send", address, err)
		return
	}
	x.options.OnBytes(address, true, n)
}

// receive reads and handles datagrams until the connection is closed.
func (x *Exchange) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.options.OnError("receive", "", err)
			time.Sleep(domainInterval)
			continue
		}
		x.options.OnBytes(from.String(), false, n)
		x.handleDatagram(buffer[:n], from.String())
	}
}

// handleDatagram applies the digest in a datagram. A digest from another domain is also forwarded to the neighbors.
func (x *Exchange) handleDatagram(datagram []byte, from string) {
	digest := new(peerv1.LoadDigest)
	if err := proto.Unmarshal(datagram, digest); err != nil {
		x.options.OnError("decode", from, err)
		return
	}
	x.applyDigest(digest)
	if digest.Scope == peerv1.LoadScope_LOAD_SCOPE_OTHER_DOMAIN {
		digest.Scope = peerv1.LoadScope_LOAD_SCOPE_RELAYED
		x.sendToNeighbors(x.options.Peers(), []*peerv1.LoadDigest{digest})
	}
}

func (x *Exchange) applyDigest(digest *peerv1.LoadDigest) {
	now := x.options.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, entry := range digest.Entries {
		id, load := model.TargetID(entry.Target), decodeEntry(now, entry)
		x.options.OnLoad(id, load)
		if digest.Scope == peerv1.LoadScope_LOAD_SCOPE_UNSPECIFIED && len(x.domainLoads) < maxDomainTargets {
			x.domainLoads[id] = load
		}
	}
}
