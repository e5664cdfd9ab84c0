package main

import (
	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// apply applies the declarations of a file and prints the changes.
func (call *invocation) apply() int {
	answer, code := call.sendFile()
	if answer == nil {
		return code
	}
	if call.output == "json" {
		call.printJSON(call.changesToJSON(answer))
	} else {
		call.printChanges(answer)
		call.printRollout(answer)
	}
	if code != exitOK {
		return code
	}
	return call.applyCode(answer)
}

// diff prints the changes that apply would make.
func (call *invocation) diff() int {
	call.dryRun = true
	return call.apply()
}

// sendFile parses the file and sends its declarations in batches. If a batch fails, it returns the merged responses of
// the batches before it, or nil if it was the first, and the exit code.
func (call *invocation) sendFile() (*operatorv1.ApplyResponse, int) {
	text, err := call.read(call.arguments[0])
	if err != nil {
		return nil, call.reportFileError(err)
	}
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		return nil, call.reportParseError(call.arguments[0], text, err)
	}
	client, err := call.client()
	if err != nil {
		return nil, call.reportError(err)
	}
	call.accounts = accountsOf(declarations)
	return call.sendAll(client, batches(declarations, maxBatchBytes))
}

// accountsOf returns the declared accounts by name.
func accountsOf(declarations []statement.Declaration) map[string]*statement.AccountDeclaration {
	accounts := make(map[string]*statement.AccountDeclaration)
	for i := range declarations {
		if account := declarations[i].Account; account != nil {
			accounts[string(account.Account.Name)] = account
		}
	}
	return accounts
}

func (call *invocation) sendAll(client operatorv1.OperatorClient, texts []string) (*operatorv1.ApplyResponse, int) {
	var all *operatorv1.ApplyResponse
	for _, text := range texts {
		answer, err := call.sendBatch(client, text)
		if err != nil {
			return all, call.reportApplyError(err)
		}
		all = mergeResponses(all, answer)
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

// reportApplyError also warns that the outcome is unknown if no response arrived: the change may be active.
func (call *invocation) reportApplyError(err error) int {
	code := call.reportError(err)
	if code == exitUnreachable && !call.dryRun {
		call.printStderr("the change may have taken effect; apply it again, which changes nothing twice")
	}
	return code
}

// applyCode returns the exit code of the worst outcome. Nodes that are behind count only with -wait.
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
