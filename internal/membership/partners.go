package membership

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// PartnersPerRound is the number of nodes that a node pulls from each round.
	PartnersPerRound = 3
	// stickyRounds is how long a partner is kept. A partner that was pulled from lately has little to send; a new one
	// sends the changes of the last minute and all permit documents.
	stickyRounds = 120
	// bridgesPerDomain is the number of nodes of a domain that pull from other domains and regions all the time.
	bridgesPerDomain = 2
	// crossDomainRounds is how often a node that is no bridge pulls from another domain of its region.
	crossDomainRounds = 15
	// remoteRounds is how often a bridge pulls from another region; the regions take turns.
	remoteRounds = 2
	// lostRounds is how often a bridge tries a dead member, so that a healed partition is noticed.
	lostRounds = 10
)

// Partner is a node to pull from.
type Partner struct {
	ID      model.NodeID
	Address string
}

// Partners returns the nodes to pull from in the round, at most PartnersPerRound. Most are of the own domain: the next
// one on a ring, so that every node is pulled from by some other, and others by hash. The bridges of each domain, two
// whatever its size, pull from other domains of the region each round and from other regions every second round.
// Seed keeps fleets apart.
func (v *View) Partners(round, seed uint64) []Partner {
	c := newChoice(v, round, seed)
	if c.bridge {
		c.add(c.lost())
		c.add(c.remote())
	}
	if c.bridge || c.turn(crossDomainRounds) {
		c.add(c.crossDomain())
	}
	c.add(c.ringNext())
	c.fill(v.domains[v.self.Domain])
	c.fill(c.ownRegion())
	return c.partners()
}

// choice is the choice of partners of one node in one round.
type choice struct {
	view   *View
	round  uint64
	salt   uint64
	bridge bool
	chosen []model.NodeID
}

func newChoice(v *View, round, seed uint64) *choice {
	salt := score(purposePull, seed, v.self.ID)
	return &choice{view: v, round: round, salt: salt, bridge: v.isBridge()}
}

// turn is true every so many rounds, in different rounds at different nodes.
func (c *choice) turn(every uint64) bool { return (c.round+c.salt%every)%every == 0 }

// slotSalt is the salt of the index-th partner. It changes every stickyRounds rounds, at different times for
// different nodes and partners.
func (c *choice) slotSalt(index int) uint64 {
	offset := (c.salt + uint64(index)*stickyRounds/PartnersPerRound) % stickyRounds
	return mix(c.salt+uint64(index), (c.round+offset)/stickyRounds)
}

func (c *choice) add(id model.NodeID) {
	if id == "" || id == c.view.self.ID || len(c.chosen) == PartnersPerRound || slices.Contains(c.chosen, id) {
		return
	}
	c.chosen = append(c.chosen, id)
}

// fill adds candidates until the round has all its partners.
func (c *choice) fill(candidates []model.NodeID) {
	for index := len(c.chosen); index < PartnersPerRound; index++ {
		// One more than the partners that can be taken already, and the node itself.
		for _, id := range Elect(purposePull, c.slotSalt(index), candidates, PartnersPerRound+1) {
			if len(c.chosen) > index {
				break
			}
			c.add(id)
		}
	}
}

// ringNext returns the member of the own domain that follows the node in the order of hashes.
func (c *choice) ringNext() model.NodeID {
	own := score(purposeRing, 0, c.view.self.ID)
	var next model.NodeID
	var least uint64
	for _, id := range c.view.domains[c.view.self.Domain] {
		distance := score(purposeRing, 0, id) - own
		if id != c.view.self.ID && (next == "" || distance < least) {
			next, least = id, distance
		}
	}
	return next
}

// crossDomain returns a member of another domain of the own region; the domains take turns.
func (c *choice) crossDomain() model.NodeID {
	var others []model.FailureDomain
	for _, domain := range c.view.regions[c.view.self.Region] {
		if domain != c.view.self.Domain {
			others = append(others, domain)
		}
	}
	if len(others) == 0 {
		return ""
	}
	domain := others[c.round%uint64(len(others))]
	return first(Elect(purposePull, c.slotSalt(0), c.view.domains[domain], 1))
}

// remote returns a member of another region every remoteRounds rounds; the regions take turns.
func (c *choice) remote() model.NodeID {
	regions := c.view.otherRegions()
	if len(regions) == 0 || !c.turn(remoteRounds) {
		return ""
	}
	region := regions[c.round/remoteRounds%uint64(len(regions))]
	candidates := c.view.inRegion(region)
	if len(candidates) == 0 {
		candidates = c.view.lost[region]
	}
	return first(Elect(purposePull, c.slotSalt(1), candidates, 1))
}

// lost returns a dead member of any region every lostRounds rounds.
func (c *choice) lost() model.NodeID {
	if !c.turn(lostRounds) {
		return ""
	}
	var candidates []model.NodeID
	for _, ids := range c.view.lost {
		candidates = append(candidates, ids...)
	}
	return first(Elect(purposePull, mix(c.salt, c.round), candidates, 1))
}

func (c *choice) ownRegion() []model.NodeID { return c.view.inRegion(c.view.self.Region) }

func (v *View) inRegion(region model.Region) []model.NodeID {
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

func (c *choice) partners() []Partner {
	partners := make([]Partner, len(c.chosen))
	for i, id := range c.chosen {
		partners[i] = Partner{ID: id, Address: c.view.addresses[id]}
	}
	return partners
}
