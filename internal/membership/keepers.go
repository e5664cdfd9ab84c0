package membership

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// keepersNeeded is the number of peers that keep a fact for a node.
	keepersNeeded = 2
	// keeperNeighbors is the number of candidates in the node's own domain.
	keeperNeighbors = 2
	// keeperDomains is the number of other domains with a candidate each.
	keeperDomains = 3
)

// Keepers is the choice of peers that keep a fact which must outlive a node: at least two, one of them in another domain, or
// as many as the fleet has. So neither the loss of a domain nor that of a peer loses the fact.
type Keepers struct {
	// Candidates are the peers to send the fact to. Not all of them need to receive it.
	Candidates []GossipPeer
	domains    map[model.NodeID]model.FailureDomain
	own        model.FailureDomain
	needed     int
	// elsewhere means that a peer in another domain is still needed.
	elsewhere bool
}

// Keepers returns the candidates to keep a fact of the node itself. They are different ones for different nodes.
func (v *View) Keepers() *Keepers {
	k := &Keepers{domains: make(map[model.NodeID]model.FailureDomain), own: v.self.Domain}
	salt := score(purposePull, 0, v.self.ID)
	k.add(v, v.self.Domain, Elect(purposePull, salt, v.domains[v.self.Domain], keeperNeighbors+1))
	for i, domain := range v.domainsFrom(salt) {
		if i == keeperDomains {
			break
		}
		k.add(v, domain, Elect(purposePull, salt, v.domains[domain], 1))
		k.elsewhere = true
	}
	k.needed = min(keepersNeeded, len(k.Candidates))
	return k
}

func (k *Keepers) add(v *View, domain model.FailureDomain, ids []model.NodeID) {
	for _, id := range ids {
		if id == v.self.ID {
			continue
		}
		k.Candidates = append(k.Candidates, GossipPeer{ID: id, Address: v.addresses[id]})
		k.domains[id] = domain
	}
}

// domainsFrom returns the other domains with live members, in an order that depends on the salt.
func (v *View) domainsFrom(salt uint64) []model.FailureDomain {
	var domains []model.FailureDomain
	for domain := range v.domains {
		if domain != v.self.Domain {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	if len(domains) == 0 {
		return nil
	}
	first := int(salt % uint64(len(domains)))
	return append(slices.Clone(domains[first:]), domains[:first]...)
}

// Add records that a candidate has the fact. It reports whether enough peers have it.
func (k *Keepers) Add(id model.NodeID) bool {
	k.needed--
	if k.domains[id] != k.own {
		k.elsewhere = false
	}
	return k.needed <= 0 && !k.elsewhere
}
