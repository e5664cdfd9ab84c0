package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// watch repeats a question. It goes on when an answer fails, and returns the exit code of the last one.
func (call *invocation) watch() int {
	text := call.arguments[0]
	parsed, err := statement.Parse(text)
	if err != nil {
		return call.failStatement("", text, err)
	}
	if verb := parsed.Verb(); verb != "show" && verb != "explain" {
		return usageFault(call.stdio, fmt.Errorf("watch repeats questions, and %q is a command", verb))
	}
	if call.interval <= 0 || call.count < 0 {
		return usageFault(call.stdio, fmt.Errorf("use an -interval above 0 and a -count from 0"))
	}
	code := exitOK
	for answers := 1; ; answers++ {
		code = call.execute(text)
		if answers == call.count || code == exitUsage {
			return code
		}
		time.Sleep(call.interval)
	}
}
