package membership

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a pair of domains whose loads nobody tells, or that several nodes tell.
func TestOneNodeTellsEachOtherDomain(t *testing.T) {
	type pair struct{ from, to model.FailureDomain }
	tables := fleetTables(30, 6)
	domainOf := make(map[string]model.FailureDomain)
	regionOf := make(map[string]model.Region)
	for _, table := range tables {
		domainOf[table.Self().PeerAddress] = table.Self().Domain
		regionOf[table.Self().PeerAddress] = table.Self().Region
	}
	told := make(map[pair]int)
	for _, table := range tables {
		partners := table.View().LoadPartners()
		if len(partners.Neighbors) != 4 {
			t.Fatalf("%s has neighbors %v, want the 4 others of its domain", table.Self().ID, partners.Neighbors)
		}
		for _, partner := range partners.Domains {
			told[pair{table.Self().Domain, domainOf[partner.Address]}]++
			if partner.OtherRegion != (regionOf[partner.Address] != table.Self().Region) {
				t.Errorf("%s takes %+v for another region or its own", table.Self().ID, partner)
			}
		}
	}
	if len(told) != 6*5 {
		t.Errorf("%d ordered pairs of domains, want 30", len(told))
	}
	for p, senders := range told {
		if senders != 1 || p.from == p.to {
			t.Errorf("%d nodes tell %v", senders, p)
		}
	}
}
