package distribution

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Puller calls Pull on another node. The context carries the time limit.
type Puller interface {
	Pull(ctx context.Context, address string, request *peerv1.PullRequest) (*peerv1.PullResponse, error)
}
