package main

import (
	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// exec runs one statement.
func (call *invocation) exec() int {
	if _, err := statement.Parse(call.arguments[0]); err != nil {
		return call.failStatement("", call.arguments[0], err)
	}
	return call.execute(call.arguments[0])
}

func (call *invocation) execute(text string) int {
	client, err := call.client()
	if err != nil {
		return call.fail(err)
	}
	ctx, cancel := call.context()
	defer cancel()
	answer, err := client.Execute(ctx, connect.NewRequest(&operatorv1.ExecuteRequest{Statement: text}))
	if err != nil {
		return call.fail(err)
	}
	return call.printAnswer(answer.Msg)
}
