package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// operation handles a query of another node about a claim of this node.
func (o *onceRunner) operation(req *peerv1.OperationRequest) *peerv1.OperationResponse {
	op := o.claims.Operation(once.ClaimID(req.Claim))
	res := &peerv1.OperationResponse{State: operationStates[op.State], Reason: string(op.Reason)}
	if op.Answer != nil {
		res.Head = answerHead(op.Answer)
		res.Body = op.Answer.Body
	}
	return res
}

var operationStates = map[once.State]peerv1.OperationState{
	once.StateUnknown:    peerv1.OperationState_OPERATION_STATE_UNKNOWN,
	once.StateRunning:    peerv1.OperationState_OPERATION_STATE_RUNNING,
	once.StateNotRun:     peerv1.OperationState_OPERATION_STATE_NOT_RUN,
	once.StateAnswered:   peerv1.OperationState_OPERATION_STATE_ANSWERED,
	once.StateMayHaveRun: peerv1.OperationState_OPERATION_STATE_MAY_HAVE_RUN,
}

func operationFromWire(res *peerv1.OperationResponse) once.Operation {
	op := once.Operation{State: once.StateUnknown, Reason: verdict.Reason(res.Reason)}
	for state, wire := range operationStates {
		if wire == res.State {
			op.State = state
		}
	}
	if res.Head != nil {
		op.Answer = &admission.Answer{Status: int(res.Head.Status), Headers: toHeaders(res.Head.Headers), Body: res.Body}
	}
	return op
}
