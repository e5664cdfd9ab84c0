package quarantine

import (
	"cmp"
	"slices"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Loss is one loss of an upstream, as attributed to one fingerprint. Nodes that receive the same loss by different paths use the
// same target and serial, so that it counts once.
type Loss struct {
	Target model.TargetID `json:"target"`
	// Serial distinguishes the losses of a target. The admitting node assigns it; it need not be ordered.
	Serial   uint64   `json:"serial"`
	Evidence Evidence `json:"evidence,omitempty"`
}

// compareLoss compares the identities of two losses.
func compareLoss(a, b Loss) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Serial, b.Serial))
}

// incriminating returns the number of losses that count towards LossLimit.
func incriminating(losses []Loss) int {
	count := 0
	for _, loss := range losses {
		if loss.Evidence.incriminates() {
			count++
		}
	}
	return count
}

// confirmed reports whether one of the losses has evidence that only a probe can refute.
func confirmed(losses []Loss) bool {
	return slices.ContainsFunc(losses, func(loss Loss) bool { return loss.Evidence.confirms() })
}

// insertLoss inserts a loss, or raises the evidence of the one with its identity. It reports whether the losses changed. At most
// LossLimit incriminating losses, the ones with most evidence, and as many others are kept, in order.
func insertLoss(losses []Loss, loss Loss) ([]Loss, bool) {
	index, found := slices.BinarySearchFunc(losses, loss, compareLoss)
	if !found {
		return limitLosses(slices.Insert(losses, index, loss)), true
	}
	if losses[index].Evidence >= loss.Evidence {
		return losses, false
	}
	losses[index].Evidence = loss.Evidence
	return losses, true
}

func limitLosses(losses []Loss) []Loss {
	if len(losses) <= LossLimit {
		return losses
	}
	byEvidence := slices.Clone(losses)
	slices.SortStableFunc(byEvidence, func(a, b Loss) int { return cmp.Compare(b.Evidence, a.Evidence) })
	var kept []Loss
	incriminating, others := 0, 0
	for _, loss := range byEvidence {
		count := &others
		if loss.Evidence.incriminates() {
			count = &incriminating
		}
		if *count++; *count <= LossLimit {
			kept = append(kept, loss)
		}
	}
	slices.SortFunc(kept, compareLoss)
	return kept
}
