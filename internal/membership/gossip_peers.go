package membership

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// PeersPerRound is the number of nodes that a node pulls from in each round.
	PeersPerRound = 3
	// stickyRounds is how long a gossip peer is kept. A peer that was pulled from recently has little to send; a new one
	// sends the changes of the last minute and all permit documents.
	stickyRounds = 120
	// bridgesPerDomain is the number of bridge nodes of a domain. They pull from other domains and regions regularly.
	bridgesPerDomain = 2
	// crossDomainRounds is the interval, in rounds, at which a node that is not a bridge pulls from another domain of its
	// region.
	crossDomainRounds = 15
	// remoteRounds is the interval, in rounds, at which a bridge pulls from another region; the regions take turns.
	remoteRounds = 2
	// deadMemberRounds is the interval, in rounds, at which a bridge tries a dead member, to detect a healed partition.
	deadMemberRounds = 10
)

// GossipPeer is a node to pull from.
type GossipPeer struct {
	ID      model.NodeID
	Address string
}

// GossipPeers returns the nodes to pull from in the round, at most PeersPerRound. Most are in the node's own domain: its
// successor on a hash ring, so that every node is pulled from by another one, and further nodes by rendezvous hash. The
// bridges of each domain pull from another domain of the region in every round and from another region in every second
// round. A domain of any size has two bridges. Fleets with different seeds choose differently.
func (v *View) GossipPeers(round, seed uint64) []GossipPeer {
	s := newPeerSelector(v, round, seed)
	if s.bridge {
		s.add(s.deadMember())
		s.add(s.remoteMember())
	}
	if s.bridge || s.isTurn(crossDomainRounds) {
		s.add(s.crossDomainMember())
	}
	s.add(s.ringSuccessor())
	s.fill(v.domains[v.self.Domain])
	s.fill(s.ownRegionMembers())
	return s.peers()
}

// peerSelector selects the gossip peers of one node in one round.
type peerSelector struct {
	view     *View
	round    uint64
	salt     uint64
	bridge   bool
	selected []model.NodeID
}

func newPeerSelector(v *View, round, seed uint64) *peerSelector {
	salt := score(purposePull, seed, v.self.ID)
	return &peerSelector{view: v, round: round, salt: salt, bridge: v.isBridge()}
}

// isTurn reports whether the node has its turn in this round, which it has once in the given number of rounds. Nodes have
// their turns in different rounds.
func (s *peerSelector) isTurn(every uint64) bool { return (s.round+s.salt%every)%every == 0 }

// slotSalt is the salt for the peer at the index. It changes every stickyRounds rounds, at different times for different
// nodes and indexes.
func (s *peerSelector) slotSalt(index int) uint64 {
	offset := (s.salt + uint64(index)*stickyRounds/PeersPerRound) % stickyRounds
	return mix(s.salt+uint64(index), (s.round+offset)/stickyRounds)
}

func (s *peerSelector) add(id model.NodeID) {
	if id == "" || id == s.view.self.ID || len(s.selected) == PeersPerRound || slices.Contains(s.selected, id) {
		return
	}
	s.selected = append(s.selected, id)
}

// fill adds candidates until the round has PeersPerRound peers.
func (s *peerSelector) fill(candidates []model.NodeID) {
	for index := len(s.selected); index < PeersPerRound; index++ {
		// Of the elected nodes, up to PeersPerRound-1 can be selected already and one can be the node itself. One more is
		// left to add.
		for _, id := range Elect(purposePull, s.slotSalt(index), candidates, PeersPerRound+1) {
			if len(s.selected) > index {
				break
			}
			s.add(id)
		}
	}
}

// ringSuccessor returns the live member of the node's domain that follows the node on the hash ring.
func (s *peerSelector) ringSuccessor() model.NodeID {
	own := score(purposeRing, 0, s.view.self.ID)
	var next model.NodeID
	var least uint64
	for _, id := range s.view.domains[s.view.self.Domain] {
		distance := score(purposeRing, 0, id) - own
		if id != s.view.self.ID && (next == "" || distance < least) {
			next, least = id, distance
		}
	}
	return next
}

// crossDomainMember returns a live member of another domain of the node's region; the domains take turns.
func (s *peerSelector) crossDomainMember() model.NodeID {
	var others []model.FailureDomain
	for _, domain := range s.view.regions[s.view.self.Region] {
		if domain != s.view.self.Domain {
			others = append(others, domain)
		}
	}
	if len(others) == 0 {
		return ""
	}
	domain := others[s.round%uint64(len(others))]
	return first(Elect(purposePull, s.slotSalt(0), s.view.domains[domain], 1))
}

// remoteMember returns a member of another region every remoteRounds rounds; the regions take turns. The member is dead
// if the region has no live one.
func (s *peerSelector) remoteMember() model.NodeID {
	regions := s.view.otherRegions()
	if len(regions) == 0 || !s.isTurn(remoteRounds) {
		return ""
	}
	region := regions[s.round/remoteRounds%uint64(len(regions))]
	candidates := s.view.liveInRegion(region)
	if len(candidates) == 0 {
		candidates = s.view.dead[region]
	}
	return first(Elect(purposePull, s.slotSalt(1), candidates, 1))
}

// deadMember returns a dead member of any region every deadMemberRounds rounds.
func (s *peerSelector) deadMember() model.NodeID {
	if !s.isTurn(deadMemberRounds) {
		return ""
	}
	var candidates []model.NodeID
	for _, ids := range s.view.dead {
		candidates = append(candidates, ids...)
	}
	return first(Elect(purposePull, mix(s.salt, s.round), candidates, 1))
}

func (s *peerSelector) ownRegionMembers() []model.NodeID {
	return s.view.liveInRegion(s.view.self.Region)
}

func (v *View) liveInRegion(region model.Region) []model.NodeID {
	var ids []model.NodeID
	for _, domain := range v.regions[region] {
		ids = append(ids, v.domains[domain]...)
	}
	return ids
}

func first(ids []model.NodeID) model.NodeID {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func (s *peerSelector) peers() []GossipPeer {
	peers := make([]GossipPeer, len(s.selected))
	for i, id := range s.selected {
		peers[i] = GossipPeer{ID: id, Address: s.view.addresses[id]}
	}
	return peers
}
