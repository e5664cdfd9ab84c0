package membership

import "github.com/sardinereach/sardinereach/internal/model"

// WatchRank returns the number of live members of the node's domain that precede it in the election of watchers. Watchers
// have the ranks below WatchersPerDomain.
func (v *View) WatchRank() int {
	own := score(purposeWatch, 0, v.self.ID)
	rank := 0
	for _, id := range v.domains[v.self.Domain] {
		if other := score(purposeWatch, 0, id); other > own || other == own && id < v.self.ID {
			rank++
		}
	}
	return rank
}

// WatcherAddresses returns the peer addresses of the watchers of the node's domain.
func (v *View) WatcherAddresses() []string {
	var addresses []string
	for _, id := range v.Watchers(v.self.Domain) {
		addresses = append(addresses, v.addresses[id])
	}
	return addresses
}

// OtherDomainAddress returns the peer address of a live member of another domain, "" if there is none. The salt selects it.
func (v *View) OtherDomainAddress(salt uint64) string {
	var others []model.NodeID
	for domain, ids := range v.domains {
		if domain != v.self.Domain {
			others = append(others, ids...)
		}
	}
	return v.addresses[first(Elect(purposePull, salt, others, 1))]
}
