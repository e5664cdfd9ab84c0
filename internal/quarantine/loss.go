package quarantine

import (
	"cmp"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Loss names one loss of an upstream. Nodes that learn of the same loss by different ways name it alike, so that it
// counts once.
type Loss struct {
	Target model.TargetID `json:"target"`
	// Serial tells the losses of a target apart. The admitting node assigns it; it need not be ordered.
	Serial uint64 `json:"serial"`
}

func compareLoss(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Serial, b.Serial))
}
