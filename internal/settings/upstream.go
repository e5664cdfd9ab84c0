package settings

import "github.com/sardinereach/sardinereach/internal/model"

// Upstream contains the settings of the node's upstream that it does not announce itself.
type Upstream struct {
	// Service is the service that upstreams receive as the origin of the requests that this node accepts. It may be empty.
	Service model.ServiceName
}
