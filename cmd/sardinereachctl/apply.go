package main

import (
	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// apply applies the declarations of a file.
func (call *invocation) apply() int {
	answer, code := call.send()
	if answer == nil {
		return code
	}
	if call.output == "json" {
		call.printJSON(changesToJSON(answer))
	} else {
		call.printChanges(answer)
		call.printReach(answer)
	}
	if code != exitOK {
		return code
	}
	return call.applyCode(answer)
}

// diff lists what apply would change.
func (call *invocation) diff() int {
	call.dryRun = true
	return call.apply()
}

// send checks the file and sends it in batches. If a batch fails, it returns the answers to those before it, nil if there
// are none, and the exit code.
func (call *invocation) send() (*operatorv1.ApplyResponse, int) {
	text, err := call.read(call.arguments[0])
	if err != nil {
		return nil, call.failFile(err)
	}
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		return nil, call.failStatement(call.arguments[0], text, err)
	}
	client, err := call.client()
	if err != nil {
		return nil, call.fail(err)
	}
	return call.sendAll(client, batches(declarations, maxBatchBytes))
}

func (call *invocation) sendAll(client operatorv1.OperatorClient, texts []string) (*operatorv1.ApplyResponse, int) {
	var all *operatorv1.ApplyResponse
	for _, text := range texts {
		answer, err := call.sendBatch(client, text)
		if err != nil {
			return all, call.failApply(err)
		}
		all = merge(all, answer)
	}
	if all == nil {
		all = new(operatorv1.ApplyResponse)
	}
	return all, exitOK
}

func (call *invocation) sendBatch(client operatorv1.OperatorClient, text string) (*operatorv1.ApplyResponse, error) {
	request := &operatorv1.ApplyRequest{Declarations: text, DryRun: call.dryRun, Force: call.force}
	ctx, cancel := call.context()
	defer cancel()
	if call.wait {
		request.WaitMs = call.timeout.Milliseconds()
	}
	answer, err := client.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// failApply adds that a change without an answer may be in force.
func (call *invocation) failApply(err error) int {
	code := call.fail(err)
	if code == exitUnreachable && !call.dryRun {
		call.complain("the change may have taken effect; apply it again, which changes nothing twice")
	}
	return code
}

// applyCode returns the code of the worst outcome. Nodes that are behind count only if the caller waited for them.
func (call *invocation) applyCode(answer *operatorv1.ApplyResponse) int {
	outcomes := make(map[string]bool)
	for _, change := range answer.GetChanges() {
		outcomes[change.GetOutcome()] = true
	}
	switch {
	case outcomes["conflict"]:
		return exitConflict
	case outcomes["rejected"]:
		return exitFailed
	case call.wait && !call.dryRun && len(answer.GetNodesBehind()) > 0:
		return exitPartial
	}
	return exitOK
}
