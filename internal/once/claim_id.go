package once

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// ClaimID identifies one claim. It is unique across nodes and incarnations.
type ClaimID string

func newClaimID(node model.NodeID, incarnation model.Incarnation, serial uint64) ClaimID {
	return ClaimID(fmt.Sprintf("%s.%x.%x", node, uint64(incarnation), serial))
}
