package membership

import (
	"slices"
	"sort"

	"github.com/sardinereach/sardinereach/internal/model"
)

// View groups the members for elections and the choice of gossip peers. It is valid for one Table.Generation.
type View struct {
	self model.Node
	// domains are the live members by domain, sorted by ID. The node itself is always included.
	domains map[model.FailureDomain][]model.NodeID
	// regions are the domains of each region, sorted.
	regions map[model.Region][]model.FailureDomain
	// dead holds the dead members by region, sorted by ID.
	dead      map[model.Region][]model.NodeID
	addresses map[model.NodeID]string
}

// View returns the current groups of members. Members that are suspected or stopping are not live.
func (t *Table) View() *View {
	v := &View{
		self:      t.Self().Node,
		domains:   map[model.FailureDomain][]model.NodeID{},
		regions:   map[model.Region][]model.FailureDomain{},
		dead:      map[model.Region][]model.NodeID{},
		addresses: make(map[model.NodeID]string, len(t.entries)),
	}
	for id, e := range t.entries {
		v.add(id, e)
	}
	for _, ids := range v.domains {
		slices.Sort(ids)
	}
	for _, ids := range v.dead {
		slices.Sort(ids)
	}
	for _, domains := range v.regions {
		slices.Sort(domains)
	}
	return v
}

func (v *View) add(id model.NodeID, e *entry) {
	node := e.record.Node
	v.addresses[id] = node.PeerAddress
	own := id == v.self.ID
	switch {
	case e.state == Dead && !own:
		v.dead[node.Region] = append(v.dead[node.Region], id)
	case own || e.state == Alive && !e.record.Stopping:
		if len(v.domains[node.Domain]) == 0 {
			v.regions[node.Region] = append(v.regions[node.Region], node.Domain)
		}
		v.domains[node.Domain] = append(v.domains[node.Domain], id)
	}
}

// Neighbors returns the peer addresses of the other live members of the node's own domain.
func (v *View) Neighbors() []string {
	var addresses []string
	for _, id := range v.domains[v.self.Domain] {
		if id != v.self.ID {
			addresses = append(addresses, v.addresses[id])
		}
	}
	return addresses
}

// Watchers returns the nodes of the domain that poll the store.
func (v *View) Watchers(domain model.FailureDomain) []model.NodeID {
	return Elect(purposeWatch, 0, v.domains[domain], WatchersPerDomain)
}

// IsWatcher reports whether the node itself polls the store.
func (v *View) IsWatcher() bool {
	return slices.Contains(v.Watchers(v.self.Domain), v.self.ID)
}

// isBridge reports whether the node is a bridge node, which pulls from other domains and regions regularly.
func (v *View) isBridge() bool {
	return slices.Contains(Elect(purposeBridge, 0, v.domains[v.self.Domain], bridgesPerDomain), v.self.ID)
}

// ShouldDelete reports whether this node deletes the member record of a dead node from the store. The deleting node is
// elected by hash from the watchers of the dead node's domain or, if that domain has no live member, from all watchers.
func (v *View) ShouldDelete(dead model.NodeID, domain model.FailureDomain) bool {
	watchers := v.Watchers(domain)
	if len(watchers) == 0 {
		watchers = v.allWatchers()
	}
	elected := Elect(purposeDelete, score(purposeDelete, 0, dead), watchers, 1)
	return len(elected) == 1 && elected[0] == v.self.ID
}

func (v *View) allWatchers() []model.NodeID {
	var watchers []model.NodeID
	for domain := range v.domains {
		watchers = append(watchers, v.Watchers(domain)...)
	}
	return watchers
}

// otherRegions returns the regions other than the node's own that have live or dead members, sorted.
func (v *View) otherRegions() []model.Region {
	var regions []model.Region
	for region := range v.regions {
		if region != v.self.Region {
			regions = append(regions, region)
		}
	}
	for region := range v.dead {
		if region != v.self.Region && len(v.regions[region]) == 0 {
			regions = append(regions, region)
		}
	}
	sort.Slice(regions, func(i, j int) bool { return regions[i] < regions[j] })
	return regions
}
