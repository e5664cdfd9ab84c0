package main

import (
	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// exec parses a statement locally and runs it on the node.
func (call *invocation) exec() int {
	if _, err := statement.Parse(call.arguments[0]); err != nil {
		return call.reportParseError("", call.arguments[0], err)
	}
	return call.execute(call.arguments[0])
}

func (call *invocation) execute(text string) int {
	client, err := call.client()
	if err != nil {
		return call.reportError(err)
	}
	ctx, cancel := call.context()
	defer cancel()
	answer, err := client.Execute(ctx, connect.NewRequest(&operatorv1.ExecuteRequest{Statement: text}))
	if err != nil {
		return call.reportError(err)
	}
	return call.printAnswer(answer.Msg)
}
