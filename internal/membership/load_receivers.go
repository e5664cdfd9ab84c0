package membership

import "github.com/sardinereach/sardinereach/internal/model"

// LoadReceivers are the nodes to which a node sends load digests.
type LoadReceivers struct {
	// Neighbors are the peer addresses of the other live members of the node's own domain.
	Neighbors []string
	// Domains are the receivers in the other domains that this node is elected to send to.
	Domains []DomainReceiver
}

// DomainReceiver is a node of another domain that forwards the load updates it receives to its neighbors.
type DomainReceiver struct {
	Address     string
	OtherRegion bool
}

// LoadReceivers returns the nodes to which this node sends load digests. For each ordered pair of domains one node sends
// and one receives, so that the bytes between domains do not grow with the number of nodes.
func (v *View) LoadReceivers() LoadReceivers {
	receivers := LoadReceivers{Neighbors: v.Neighbors()}
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
			receivers.Domains = append(receivers.Domains, DomainReceiver{
				Address: v.addresses[receiver], OtherRegion: region != v.self.Region,
			})
		}
	}
	return receivers
}

func domainSalt(domain model.FailureDomain) uint64 {
	return score(purposeLoad, 0, model.NodeID(domain))
}
