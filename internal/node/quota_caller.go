package node

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// quotaCaller sends the calls to the distributors at other nodes.
type quotaCaller interface {
	Quota(ctx context.Context, address string, req *peerv1.QuotaRequest) (*peerv1.QuotaResponse, error)
}
