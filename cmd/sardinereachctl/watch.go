package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// watch runs a query periodically. It continues after a failed query, unless the failure is a usage error, and returns
// the exit code of the last query.
func (call *invocation) watch() int {
	text := call.arguments[0]
	parsed, err := statement.Parse(text)
	if err != nil {
		return call.reportParseError("", text, err)
	}
	if verb := parsed.Verb(); verb != "show" && verb != "explain" {
		return reportUsageError(call.stdio, fmt.Errorf("watch accepts only show and explain statements, not %q", verb))
	}
	if call.interval <= 0 || call.count < 0 {
		return reportUsageError(call.stdio, fmt.Errorf("use an -interval above 0 and a -count from 0"))
	}
	code := exitOK
	for queries := 1; ; queries++ {
		code = call.execute(text)
		if queries == call.count || code == exitUsage {
			return code
		}
		time.Sleep(call.interval)
	}
}
