package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// claimStatus classifies an existing claim for a request with the same key.
type claimStatus uint8

const (
	// statusKeyReused means that the key belongs to a different request.
	statusKeyReused claimStatus = iota
	// statusAnswered means that the stored response is replayed.
	statusAnswered
	// statusUncertain means that the request may have run.
	statusUncertain
	// statusOwn means that this incarnation holds the claim.
	statusOwn
	// statusEarlierIncarnation means that the holder is an earlier incarnation of this node, which has terminated.
	statusEarlierIncarnation
	// statusOtherHolder means that another node, or a later incarnation of this one, holds the claim.
	statusOtherHolder
)

// classification is a claim status with the response or the reason that belongs to it.
type classification struct {
	status claimStatus
	answer *admission.Answer
	reason verdict.Reason
}

// classify classifies an existing claim for a request that the given incarnation of a node has received.
func classify(d *document, r request, node model.NodeID, incarnation model.Incarnation) classification {
	if d.Key != r.key || d.Account != r.account || d.Fingerprint != r.fingerprint {
		return classification{status: statusKeyReused}
	}
	switch d.Phase {
	case phaseAnswered:
		return classifyAnswered(d)
	case phaseRunning:
		return classification{status: classifyRunning(d, node, incarnation)}
	}
	return classification{status: statusUncertain, reason: reasonOr(d.Reason, verdict.ClaimHolderLost)}
}

func classifyAnswered(d *document) classification {
	if d.Answer == nil {
		return classification{status: statusUncertain, reason: verdict.AnswerDropped}
	}
	return classification{status: statusAnswered, answer: d.Answer}
}

func classifyRunning(d *document, node model.NodeID, incarnation model.Incarnation) claimStatus {
	switch {
	case d.Node != node, d.Incarnation > incarnation:
		return statusOtherHolder
	case d.Incarnation < incarnation:
		return statusEarlierIncarnation
	}
	return statusOwn
}

func reasonOr(reason, fallback verdict.Reason) verdict.Reason {
	if reason == "" {
		return fallback
	}
	return reason
}
