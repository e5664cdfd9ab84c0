package membership

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against an ordered pair of domains for which no node, or more than one node, sends load digests.
func TestOneSenderPerDomainPair(t *testing.T) {
	type pair struct{ from, to model.FailureDomain }
	tables := fleetTables(30, 6)
	domainOf := make(map[string]model.FailureDomain)
	regionOf := make(map[string]model.Region)
	for _, table := range tables {
		domainOf[table.Self().PeerAddress] = table.Self().Domain
		regionOf[table.Self().PeerAddress] = table.Self().Region
	}
	senders := make(map[pair]int)
	for _, table := range tables {
		receivers := table.View().LoadReceivers()
		if len(receivers.Neighbors) != 4 {
			t.Fatalf("%s has neighbors %v, want the 4 others of its domain", table.Self().ID, receivers.Neighbors)
		}
		for _, receiver := range receivers.Domains {
			senders[pair{table.Self().Domain, domainOf[receiver.Address]}]++
			if receiver.OtherRegion != (regionOf[receiver.Address] != table.Self().Region) {
				t.Errorf("%s has the wrong OtherRegion in %+v", table.Self().ID, receiver)
			}
		}
	}
	if len(senders) != 6*5 {
		t.Errorf("%d ordered pairs of domains, want 30", len(senders))
	}
	for p, count := range senders {
		if count != 1 || p.from == p.to {
			t.Errorf("%d nodes send for %v", count, p)
		}
	}
}
