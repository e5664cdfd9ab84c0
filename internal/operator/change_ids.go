package operator

import (
	"fmt"
	"sync/atomic"

	"github.com/sardinereach/sardinereach/internal/model"
)

// changeIDs gives each write an ID that no other write of the fleet has.
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
