package once

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// ClaimID names one claim. It is never used twice.
type ClaimID string

func newClaimID(node model.NodeID, incarnation model.Incarnation, serial uint64) ClaimID {
	return ClaimID(fmt.Sprintf("%s.%x.%x", node, uint64(incarnation), serial))
}
