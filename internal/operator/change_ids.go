package operator

import (
	"fmt"
	"sync/atomic"

	"github.com/sardinereach/sardinereach/internal/model"
)

// changeIDs generates the IDs of writes. Each ID is unique in the fleet.
type changeIDs struct {
	prefix string
	serial atomic.Uint64
}

func newChangeIDs(node model.NodeID, incarnation model.Incarnation) *changeIDs {
	return &changeIDs{prefix: fmt.Sprintf("%s.%x", node, uint64(incarnation))}
}

func (c *changeIDs) next() string {
	return fmt.Sprintf("%s.%x", c.prefix, c.serial.Add(1))
}
