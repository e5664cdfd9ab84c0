package distribution

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Puller calls other nodes. The contexts carry the time limits.
type Puller interface {
	// Pull requests member records and documents.
	Pull(ctx context.Context, address string, request *peerv1.PullRequest) (*peerv1.PullResponse, error)
	// Chunks requests chunks of documents that a response to Pull has offered.
	Chunks(ctx context.Context, address string, request *peerv1.ChunksRequest) (*peerv1.ChunksResponse, error)
}
