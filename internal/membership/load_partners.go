package membership

import "github.com/sardinereach/sardinereach/internal/model"

// LoadPartners are the nodes to which a node sends the load of targets.
type LoadPartners struct {
	// Neighbors are the peer addresses of the other live members of the own domain.
	Neighbors []string
	// Domains are the receivers in those other domains to which this node is elected to send.
	Domains []DomainPartner
}

// DomainPartner is the node of another domain that passes on what it is sent to its neighbors.
type DomainPartner struct {
	Address     string
	OtherRegion bool
}

// LoadPartners returns the nodes to which this node sends the load of targets. For each ordered pair of domains one node
// sends and one receives, so that the bytes between domains do not grow with the nodes.
func (v *View) LoadPartners() LoadPartners {
	partners := LoadPartners{Neighbors: v.Neighbors()}
	own := v.self.Domain
	for region, domains := range v.regions {
		for _, domain := range domains {
			if domain == own || first(Elect(purposeLoad, domainSalt(domain), v.domains[own], 1)) != v.self.ID {
				continue
			}
			receiver := first(Elect(purposeLoad, domainSalt(own), v.domains[domain], 1))
			if receiver == "" {
				continue
			}
			partners.Domains = append(partners.Domains, DomainPartner{
				Address: v.addresses[receiver], OtherRegion: region != v.self.Region,
			})
		}
	}
	return partners
}

func domainSalt(domain model.FailureDomain) uint64 {
	return score(purposeLoad, 0, model.NodeID(domain))
}
