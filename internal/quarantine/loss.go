package quarantine

import (
	"cmp"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Loss identifies one loss of an upstream. Nodes that receive the same loss by different paths use the same identity,
// so that it counts once.
type Loss struct {
	Target model.TargetID `json:"target"`
	// Serial distinguishes the losses of a target. The admitting node assigns it; it need not be ordered.
	Serial uint64 `json:"serial"`
}

func compareLoss(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Serial, b.Serial))
}
