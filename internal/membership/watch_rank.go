package membership

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

// WatchRank returns the number of live members of the node's domain that precede it in the election of watchers, without
// those that skip returns true for. Watchers have the ranks below WatchersPerDomain. skip gets a peer address and may be nil.
func (v *View) WatchRank(skip func(address string) bool) int {
	own := score(purposeWatch, 0, v.self.ID)
	rank := 0
	for _, id := range v.domains[v.self.Domain] {
		other := score(purposeWatch, 0, id)
		precedes := other > own || other == own && id < v.self.ID
		if precedes && (skip == nil || !skip(v.addresses[id])) {
			rank++
		}
	}
	return rank
}

// WatcherAddresses returns the peer addresses of the watchers of the node's domain and of the standbys next in the order.
func (v *View) WatcherAddresses(standbys int) []string {
	var addresses []string
	for _, id := range Elect(purposeWatch, 0, v.domains[v.self.Domain], WatchersPerDomain+standbys) {
		addresses = append(addresses, v.addresses[id])
	}
	return addresses
}

// Standbys returns the number of live members of the node's domain that are not watchers.
func (v *View) Standbys() int { return max(0, len(v.domains[v.self.Domain])-WatchersPerDomain) }

// OtherWatcherAddress returns the peer address of a watcher of another domain, "" if there is none. The salt selects it. One that
// skip returns true for is selected only if skip returns true for all. skip gets a peer address.
func (v *View) OtherWatcherAddress(salt uint64, skip func(address string) bool) string {
	var watchers []model.NodeID
	for domain := range v.domains {
		if domain != v.self.Domain {
			watchers = append(watchers, v.Watchers(domain)...)
		}
	}
	skipped := func(id model.NodeID) bool { return skip(v.addresses[id]) }
	if preferred := slices.DeleteFunc(slices.Clone(watchers), skipped); len(preferred) > 0 {
		watchers = preferred
	}
	return v.addresses[first(Elect(purposePull, salt, watchers, 1))]
}
