package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// finding is what an existing claim means for a request.
type finding uint8

const (
	// foundReused means that the key belongs to a different request.
	foundReused finding = iota
	// foundAnswer means that the recorded answer is replayed.
	foundAnswer
	// foundUncertain means that the request may have run.
	foundUncertain
	// foundOwn means that this incarnation holds the claim.
	foundOwn
	// foundEarlier means that an earlier incarnation of this node held the claim and is gone.
	foundEarlier
	// foundElsewhere means that another node holds the claim.
	foundElsewhere
)

// judgement is the finding with its details.
type judgement struct {
	finding finding
	answer  *admission.Answer
	reason  verdict.Reason
}

// judge compares an existing claim with a request for the same key at a node.
func judge(d *document, key string, fingerprint uint64, node model.NodeID, incarnation model.Incarnation) judgement {
	if d.Key != key || d.Fingerprint != fingerprint {
		return judgement{finding: foundReused}
	}
	switch d.Phase {
	case phaseAnswered:
		return judgeAnswered(d)
	case phaseRunning:
		return judgement{finding: holderOf(d, node, incarnation)}
	}
	return judgement{finding: foundUncertain, reason: reasonOr(d.Reason, verdict.ClaimHolderLost)}
}

func judgeAnswered(d *document) judgement {
	if d.Answer == nil {
		return judgement{finding: foundUncertain, reason: verdict.AnswerDropped}
	}
	return judgement{finding: foundAnswer, answer: d.Answer}
}

func holderOf(d *document, node model.NodeID, incarnation model.Incarnation) finding {
	switch {
	case d.Node != node, d.Incarnation > incarnation:
		return foundElsewhere
	case d.Incarnation < incarnation:
		return foundEarlier
	}
	return foundOwn
}

func reasonOr(reason, fallback verdict.Reason) verdict.Reason {
	if reason == "" {
		return fallback
	}
	return reason
}
