package settings

import "github.com/sardinereach/sardinereach/internal/model"

// Upstream describes the upstream beside the node as far as it does not announce it itself.
type Upstream struct {
	// Service is told upstreams as the origin of the requests that this node accepts. It may be empty.
	Service model.ServiceName
}
